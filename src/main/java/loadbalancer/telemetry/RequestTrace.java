package loadbalancer.telemetry;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Arrays;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
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
  private static final int MAX_REQUEST_LINES_PER_PERIOD = 5;

  /**
   * The time after acceptance within which a rejection counts as immediate. A request that is
   * rejected later was queued or attempted before.
   */
  private static final long IMMEDIATE_REJECTION_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private static final int INITIAL_LINE_CAPACITY = 200;

  private static final AttemptStatus[] STATUSES = AttemptStatus.values();
  private static final AttemptRefusal[] REFUSALS = AttemptRefusal.values();

  private final LongFunction<String> endpointNames;
  private final MemoryUsage memoryUsage;
  private final ClientActivity clients;
  private final IntSupplier surplusResponses;
  private final int[] attemptCounts = new int[STATUSES.length];
  private final int[] refusalCounts = new int[REFUSALS.length];
  private long periodEndNanos;
  private int servedCount;
  private int lateCount;
  private int rejectedAtOnceCount;
  private int rejectedLaterCount;
  private int failedCount;
  private int abandonedCount;
  private int requestLineCount;
  private long maxLagNanos;

  /**
   * Creates a trace whose first period starts with the first final response.
   *
   * @param endpointNames returns the name of the endpoint with a given id
   * @param clients the activity of client connections, whose periods are those of the trace
   * @param surplusResponses returns how many connections to endpoints have been closed since the
   *     last call because bytes followed a complete response
   */
  public RequestTrace(
      LongFunction<String> endpointNames,
      MemoryUsage memoryUsage,
      ClientActivity clients,
      IntSupplier surplusResponses) {
    this.endpointNames = endpointNames;
    this.memoryUsage = memoryUsage;
    this.clients = clients;
    this.surplusResponses = surplusResponses;
  }

  /** Counts an attempt by the status with which it ended. */
  public void attemptEnded(AttemptStatus status) {
    attemptCounts[status.ordinal()]++;
  }

  /** Counts an attempt that was started but not written to a connection, by the reason. */
  public void attemptRefused(AttemptRefusal refusal) {
    refusalCounts[refusal.ordinal()]++;
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
    if (countResponse(request, status, nowNanos)) {
      logRequestIfAllowed(request, String.valueOf(status.code()), nowNanos);
    }
    logSummaryIfDue(nowNanos);
  }

  /**
   * Records that the client of a request left before its final response. The request is logged if
   * an attempt of it had started.
   */
  public void abandoned(TracedRequest request, long nowNanos) {
    abandonedCount++;
    if (!request.attempts().isEmpty()) {
      logRequestIfAllowed(request, "none", nowNanos);
    }
    logSummaryIfDue(nowNanos);
  }

  /** Logs the summary of a period that has ended, if anything has been counted in it. */
  public void periodPassed(long nowNanos) {
    if (clients.hasCounts() || hasCounts()) {
      logSummaryIfDue(nowNanos);
    }
  }

  private boolean hasCounts() {
    return servedCount + rejectedAtOnceCount + rejectedLaterCount + failedCount + abandonedCount
        > 0;
  }

  private void logSummaryIfDue(long nowNanos) {
    if (periodEndNanos == 0) {
      periodEndNanos = nowNanos + PERIOD_NANOS;
    } else if (nowNanos >= periodEndNanos) {
      periodEndNanos = nowNanos + PERIOD_NANOS;
      logSummary();
      startPeriod();
    }
  }

  /** Counts a response and returns whether its request qualifies for a {@code request} line. */
  private boolean countResponse(TracedRequest request, HttpResponseStatus status, long nowNanos) {
    long durationNanos = nowNanos - request.acceptedAtNanos();
    if (status.equals(HttpResponseStatus.OK)) {
      boolean isLate = durationNanos > request.requestClass().latencyObjectiveNanos();
      servedCount++;
      lateCount += isLate ? 1 : 0;
      return isLate;
    }
    if (!status.equals(HttpResponseStatus.TOO_MANY_REQUESTS)) {
      failedCount++;
      return true;
    }
    if (durationNanos < IMMEDIATE_REJECTION_NANOS) {
      rejectedAtOnceCount++;
      return false;
    }
    rejectedLaterCount++;
    return true;
  }

  private void logSummary() {
    StringBuilder line =
        new StringBuilder(INITIAL_LINE_CAPACITY).append("summary served=").append(servedCount);
    line.append(" late=").append(lateCount);
    line.append(" rejected_at_once=").append(rejectedAtOnceCount);
    line.append(" rejected_later=").append(rejectedLaterCount);
    line.append(" failed=").append(failedCount);
    line.append(" abandoned=").append(abandonedCount);
    for (AttemptStatus status : STATUSES) {
      appendCount(line, " attempts_", status, attemptCounts[status.ordinal()]);
    }
    for (AttemptRefusal refusal : REFUSALS) {
      appendCount(line, " unwritten_", refusal, refusalCounts[refusal.ordinal()]);
    }
    int surplus = surplusResponses.getAsInt();
    if (surplus > 0) {
      line.append(" surplus_responses=").append(surplus);
    }
    line.append(" max_loop_lag_ms=").append(toMillis(maxLagNanos));
    clients.appendTo(line);
    log(line.append(' ').append(memoryUsage));
  }

  private static void appendCount(StringBuilder line, String prefix, Enum<?> kind, int count) {
    if (count > 0) {
      line.append(prefix).append(kind.name().toLowerCase(Locale.ROOT)).append('=').append(count);
    }
  }

  private void startPeriod() {
    servedCount = 0;
    lateCount = 0;
    rejectedAtOnceCount = 0;
    rejectedLaterCount = 0;
    failedCount = 0;
    abandonedCount = 0;
    requestLineCount = 0;
    maxLagNanos = 0;
    Arrays.fill(attemptCounts, 0);
    Arrays.fill(refusalCounts, 0);
    clients.startPeriod();
  }

  private void logRequestIfAllowed(TracedRequest request, String status, long nowNanos) {
    if (requestLineCount++ < MAX_REQUEST_LINES_PER_PERIOD) {
      logRequest(request, status, nowNanos);
    }
  }

  private void logRequest(TracedRequest request, String status, long nowNanos) {
    long acceptedAtNanos = request.acceptedAtNanos();
    StringBuilder line = new StringBuilder(INITIAL_LINE_CAPACITY).append("request trace_id=");
    line.append(LogValues.quoteIfNeeded(request.traceId()));
    line.append(" class=").append(LogValues.quoteIfNeeded(request.requestClass().name()));
    line.append(" status=").append(status);
    line.append(" connection=").append(request.connectionNumber());
    if (request.hasClientLeft()) {
      line.append(" client=left");
    }
    line.append(" duration_ms=").append(toMillis(nowNanos - acceptedAtNanos));
    line.append(" budget_ms=").append(toMillis(request.deadlineNanos() - acceptedAtNanos));
    line.append(" unread_ms=").append(toMillis(request.unreadNanos()));
    int attemptNumber = 0;
    for (TracedAttempt attempt : request.attempts()) {
      attemptNumber++;
      line.append(" attempt_").append(attemptNumber).append('=');
      appendAttempt(line, attempt, acceptedAtNanos);
    }
    log(line);
  }

  private void appendAttempt(StringBuilder line, TracedAttempt attempt, long acceptedAtNanos) {
    line.append("endpoint:")
        .append(LogValues.quoteIfNeeded(endpointNames.apply(attempt.endpointId())));
    line.append(",start_ms:").append(toMillis(attempt.startedAtNanos() - acceptedAtNanos));
    if (attempt.status() == null) {
      line.append(",status:IN_FLIGHT");
    } else {
      line.append(",status:").append(attempt.status());
      line.append(",latency_ms:").append(toMillis(attempt.latencyNanos()));
    }
  }

  /**
   * Logs a line with an explicit source, without which the logger would walk the stack to find it.
   */
  private static void log(StringBuilder line) {
    LOG.logp(Level.INFO, "RequestTrace", "log", line.toString());
  }

  private static long toMillis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
