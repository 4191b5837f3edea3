package loadbalancer.telemetry;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import loadbalancer.decision.api.AttemptStatus;

/**
 * What can be read afterwards: a line of figures for each second in which something was answered, and the course of some of
 * the requests that ended badly. It is bounded: on a bad day it would else take the core that the requests need.
 */
public final class RequestTrace {

  private static final Logger LOG = Logger.getLogger(RequestTrace.class.getName());

  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);
  /** Requests told of in a period; the figures count all of them. */
  private static final int MOST_TOLD = 5;
  /** A refusal within this time came at once; a later one was held first, or tried. */
  private static final long AT_ONCE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  private final LongFunction<String> names;
  private long periodEnds;
  private int served;
  private int late;
  private int refusedAtOnce;
  private int refusedLater;
  private int failed;
  private int told;
  private final int[] attempts = new int[AttemptStatus.values().length];
  private long latestTimer;

  /** {@code names} gives an upstream's name on the list. */
  public RequestTrace(LongFunction<String> names) {
    this.names = names;
  }

  /** An attempt has ended. */
  public void attemptEnded(AttemptStatus status) {
    attempts[status.ordinal()]++;
  }

  /** A timer of the module comes so long after it was due: so far is the event loop behind. */
  public void timerFired(long lateNanos) {
    latestTimer = Math.max(latestTimer, lateNanos);
  }

  /** A request has its final answer. */
  public void responded(TracedRequest x, HttpResponseStatus status, long now) {
    long took = now - x.acceptedAtNanos();
    boolean isServed = status.equals(HttpResponseStatus.OK);
    boolean refused = status.equals(HttpResponseStatus.TOO_MANY_REQUESTS);
    boolean atOnce = refused && took < AT_ONCE_NANOS;
    boolean isLate = isServed && took > x.requestClass().latencyObjectiveNanos();
    served += isServed ? 1 : 0;
    late += isLate ? 1 : 0;
    refusedAtOnce += atOnce ? 1 : 0;
    refusedLater += refused && !atOnce ? 1 : 0;
    failed += isServed || refused ? 0 : 1;
    if ((isLate || !isServed && !atOnce) && told++ < MOST_TOLD) {
      tell(x, status, now);
    }
    if (periodEnds == 0) {
      periodEnds = now + PERIOD_NANOS;
    } else if (now >= periodEnds) {
      periodEnds = now + PERIOD_NANOS;
      sumUp();
    }
  }

  private void sumUp() {
    StringBuilder line = new StringBuilder(200).append("served ").append(served).append(", ").append(late)
        .append(" of them past the aim; refused ").append(refusedAtOnce).append(" at once, ").append(refusedLater)
        .append(" later; failed ").append(failed).append("; attempts");
    for (AttemptStatus status : AttemptStatus.values()) {
      if (attempts[status.ordinal()] > 0) {
        line.append(' ').append(attempts[status.ordinal()]).append(' ').append(status);
      }
    }
    log(line.append("; loop behind by ").append(millis(latestTimer)).append(" ms at most").toString());
    served = late = refusedAtOnce = refusedLater = failed = told = 0;
    Arrays.fill(attempts, 0);
    latestTimer = 0;
  }

  private void tell(TracedRequest x, HttpResponseStatus status, long now) {
    StringBuilder line = new StringBuilder(200).append(x.traceId()).append(' ').append(x.requestClass().name()).append(" answered ")
        .append(status.code()).append(" after ").append(millis(now - x.acceptedAtNanos())).append(" of ")
        .append(millis(x.deadlineNanos() - x.acceptedAtNanos())).append(" ms");
    if (millis(x.unreadNanos()) > 0) {
      line.append(", read up to ").append(millis(x.unreadNanos())).append(" ms late");
    }
    for (TracedAttempt a : x.attempts()) {
      line.append("; sent to ").append(names.apply(a.endpointId())).append(" at ").append(millis(a.startedAtNanos() - x.acceptedAtNanos()));
      if (a.status() == null) {
        line.append(", out");
      } else {
        line.append(", ").append(a.status()).append(" after ").append(millis(a.latencyNanos()));
      }
    }
    log(line.toString());
  }

  /** Named here, or the logger would walk the stack to find out who calls. */
  private static void log(String line) {
    LOG.logp(Level.INFO, "RequestTrace", "log", line);
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
