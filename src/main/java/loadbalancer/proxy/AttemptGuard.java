package loadbalancer.proxy;

import java.util.logging.Logger;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.AttemptRefusal;
import loadbalancer.telemetry.LogValues;
import loadbalancer.telemetry.RequestTrace;

/**
 * The one guard on what goes to endpoints, asked right before an attempt's first byte. Since it was
 * decided a connection may have taken long to come up, and events may be queued that the engine has
 * not handled yet. It also guards the promises that a rejection makes, whatever the engine decides.
 * Confined to the event loop.
 */
final class AttemptGuard {

  private static final Logger LOG = Logger.getLogger(AttemptGuard.class.getName());

  private final MonotonicClock clock;
  private final EndpointDirectory directory;
  private final RequestTrace trace;

  AttemptGuard(MonotonicClock clock, EndpointDirectory directory, RequestTrace trace) {
    this.clock = clock;
    this.directory = directory;
    this.trace = trace;
  }

  /**
   * Whether an attempt may be written now; counts why not.
   *
   * @param writeDeadline clock reading at which its time, or the dedup window of those before it, is over
   */
  boolean canWrite(ProxiedRequest request, ProxiedAttempt attempt, long writeDeadline) {
    AttemptRefusal refusal = refusal(request, attempt, writeDeadline);
    if (refusal == null) {
      return true;
    }
    trace.attemptRefused(refusal);
    if (refusal == AttemptRefusal.WOULD_RUN_TWICE) {
      reportViolation("non_idempotent_repeat", request);
    }
    return false;
  }

  private AttemptRefusal refusal(
      ProxiedRequest request, ProxiedAttempt attempt, long writeDeadline) {
    if (!request.isClientWaiting()) {
      return AttemptRefusal.CLIENT_GONE;
    }
    if (!directory.isReady(attempt.endpointId())) {
      return AttemptRefusal.ENDPOINT_NOT_READY;
    }
    if (clock.nowNanos() >= writeDeadline) {
      return AttemptRefusal.TIME_OVER;
    }
    boolean isNonIdempotent = request.requestClass().idempotence() == Idempotence.NON_IDEMPOTENT;
    return isNonIdempotent && request.mayHaveRunExcluding(attempt)
        ? AttemptRefusal.WOULD_RUN_TWICE
        : null;
  }

  /** Whether a rejection, by which the client may repeat the request, keeps what it promises. */
  boolean canReject(ProxiedRequest request) {
    boolean couldRunTwice = request.mayHaveRun() && !canRepeatAnywhere(request.requestClass());
    if (couldRunTwice) {
      reportViolation("rejected_though_it_may_have_run", request);
    }
    return !couldRunTwice;
  }

  private static boolean canRepeatAnywhere(RequestClass requestClass) {
    return switch (requestClass.idempotence()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENCY_KEY -> requestClass.dedupScope() == DedupScope.ALL;
      case NON_IDEMPOTENT -> false;
    };
  }

  /** The engine wanted to break a rule: a defect, which has been prevented. */
  private static void reportViolation(String rule, ProxiedRequest request) {
    LOG.severe(
        "invariant_violated rule="
            + rule
            + " trace_id="
            + LogValues.quoteIfNeeded(request.traceId()));
  }
}
