package loadbalancer.telemetry;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import loadbalancer.decision.api.AttemptStatus;

/**
 * Logs a {@code summary} line about once a second while requests get their final responses, and
 * {@code request} lines for some of the requests that were served late, rejected after a wait, or
 * failed. The number of lines is bounded, because during an overload unbounded logging would take
 * the CPU time that the requests need. Confined to the event loop.
 */
public final class RequestTrace {

  private static final Logger LOG = Logger.getLogger(RequestTrace.class.getName());

  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** The limit on {@code request} lines in a period; the summary counts all requests. */
  private static final int MAX_REQUEST_LINES = 5;

  /**
   * The time within which a rejection counts as immediate. Requests that are rejected later were
   * queued or attempted before.
   */
  private static final long MAX_AT_ONCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final int INITIAL_LINE_CAPACITY = 200;

  private static final AttemptStatus[] STATUSES = AttemptStatus.values();
  private static final AttemptRefusal[] REFUSALS = AttemptRefusal.values();

  private final LongFunction<String> endpointNames;
  private final int[] attempts = new int[STATUSES.length];
  private final int[] refusals = new int[REFUSALS.length];
  private long periodEndNanos;
  private int served;
  private int late;
  private int rejectedAtOnce;
  private int rejectedLater;
  private int failed;
  private int requestLines;
  private long maxLagNanos;

  /**
   * Creates a trace whose first period starts with the first final response.
   *
   * @param endpointNames returns the name of the endpoint with a given id
   */
  public RequestTrace(LongFunction<String> endpointNames) {
    this.endpointNames = endpointNames;
  }

  /** Counts an attempt by the status with which it ended. */
  public void attemptEnded(AttemptStatus status) {
    attempts[status.ordinal()]++;
  }

  /** Counts an attempt that the decision engine started but that was not written, by the reason. */
  public void attemptRefused(AttemptRefusal refusal) {
    refusals[refusal.ordinal()]++;
  }

  /**
   * Records how late one of the decision engine's timers fired, which is a sample of the event
   * loop's lag.
   */
  public void timerFired(long lateNanos) {
    maxLagNanos = Math.max(maxLagNanos, lateNanos);
  }

  /** Records that a request got its final response, and logs the lines that are due. */
  public void responded(TracedRequest request, HttpResponseStatus status, long nowNanos) {
    if (count(request, status, nowNanos) && requestLines++ < MAX_REQUEST_LINES) {
      logRequest(request, status, nowNanos);
    }
    if (periodEndNanos == 0) {
      periodEndNanos = nowNanos + PERIOD_NANOS;
    } else if (nowNanos >= periodEndNanos) {
      periodEndNanos = nowNanos + PERIOD_NANOS;
      logSummary();
      startPeriod();
    }
  }

  /** Counts a response and returns whether its request qualifies for a {@code request} line. */
  private boolean count(TracedRequest request, HttpResponseStatus status, long nowNanos) {
    long duration = nowNanos - request.acceptedAtNanos();
    if (status.equals(HttpResponseStatus.OK)) {
      boolean isLate = duration > request.requestClass().latencyObjectiveNanos();
      served++;
      late += isLate ? 1 : 0;
      return isLate;
    }
    if (!status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)) {
      failed++;
      return true;
    }
    if (duration < MAX_AT_ONCE_NANOS) {
      rejectedAtOnce++;
      return false;
    }
    rejectedLater++;
    return true;
  }

  private void logSummary() {
    StringBuilder line =
        new StringBuilder(INITIAL_LINE_CAPACITY).append("summary served=").append(served);
    line.append(" late=").append(late);
    line.append(" rejected_at_once=").append(rejectedAtOnce);
    line.append(" rejected_later=").append(rejectedLater);
    line.append(" failed=").append(failed);
    for (AttemptStatus status : STATUSES) {
      appendCount(line, " attempts_", status, attempts[status.ordinal()]);
    }
    for (AttemptRefusal refusal : REFUSALS) {
      appendCount(line, " unwritten_", refusal, refusals[refusal.ordinal()]);
    }
    log(line.append(" max_loop_lag_ms=").append(millis(maxLagNanos)));
  }

  private static void appendCount(StringBuilder line, String prefix, Enum<?> kind, int count) {
    if (count > 0) {
      line.append(prefix).append(kind.name().toLowerCase(Locale.ROOT)).append('=').append(count);
    }
  }

  private void startPeriod() {
    served = 0;
    late = 0;
    rejectedAtOnce = 0;
    rejectedLater = 0;
    failed = 0;
    requestLines = 0;
    maxLagNanos = 0;
    Arrays.fill(attempts, 0);
    Arrays.fill(refusals, 0);
  }

  private void logRequest(TracedRequest request, HttpResponseStatus status, long nowNanos) {
    long acceptedAt = request.acceptedAtNanos();
    StringBuilder line = new StringBuilder(INITIAL_LINE_CAPACITY).append("request trace_id=");
    line.append(LogValues.quoteIfNeeded(request.traceId()));
    line.append(" class=").append(LogValues.quoteIfNeeded(request.requestClass().name()));
    line.append(" status=").append(status.code());
    line.append(" duration_ms=").append(millis(nowNanos - acceptedAt));
    line.append(" budget_ms=").append(millis(request.deadlineNanos() - acceptedAt));
    line.append(" unread_ms=").append(millis(request.unreadNanos()));
    int number = 0;
    for (TracedAttempt attempt : request.attempts()) {
      number++;
      line.append(" attempt_").append(number).append('=');
      appendAttempt(line, attempt, acceptedAt);
    }
    log(line);
  }

  private void appendAttempt(StringBuilder line, TracedAttempt attempt, long acceptedAt) {
    line.append("endpoint:")
        .append(LogValues.quoteIfNeeded(endpointNames.apply(attempt.endpointId())));
    line.append(",start_ms:").append(millis(attempt.startedAtNanos() - acceptedAt));
    if (attempt.status() == null) {
      line.append(",status:IN_FLIGHT");
    } else {
      line.append(",status:").append(attempt.status());
      line.append(",latency_ms:").append(millis(attempt.latencyNanos()));
    }
  }

  /**
   * Logs a line with an explicit source, without which the logger would walk the stack to find it.
   */
  private static void log(StringBuilder line) {
    LOG.logp(Level.INFO, "RequestTrace", "log", line.toString());
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
