package loadbalancer.proxy;

import java.util.logging.Logger;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.downstream.ClientPresence;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.AttemptRefusal;
import loadbalancer.telemetry.LogValues;
import loadbalancer.telemetry.RequestTrace;

/**
 * The final check of every attempt, made immediately before its first byte is written. After the
 * engine's decision, the connection may have taken long to establish, and events may have been
 * queued that the engine has not handled yet. It also checks, whatever the engine decides, that the
 * client may safely repeat a request that is rejected. Confined to the event loop.
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
   * Returns why an attempt may not be written now, or null if it may. Counts the reason, and logs a
   * violation if the engine should not have started the attempt.
   *
   * @param writeDeadline the attempt's deadline or the end of the dedup window of an earlier
   *     attempt, whichever is first
   */
  AttemptRefusal check(ProxiedRequest request, ProxiedAttempt attempt, long writeDeadline) {
    AttemptRefusal refusal = refusal(request, attempt, writeDeadline);
    if (refusal != null) {
      trace.attemptRefused(refusal);
    }
    if (refusal == AttemptRefusal.WOULD_RUN_TWICE) {
      reportViolation("non_idempotent_repeat", request);
    }
    return refusal;
  }

  private AttemptRefusal refusal(
      ProxiedRequest request, ProxiedAttempt attempt, long writeDeadline) {
    ClientPresence client = request.clientPresence();
    if (client != ClientPresence.WAITING) {
      return client == ClientPresence.GONE
          ? AttemptRefusal.CLIENT_GONE
          : AttemptRefusal.CLIENT_UNREAD;
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

  /** Returns whether a request may be rejected; logs a violation by the engine if it may not. */
  boolean canReject(ProxiedRequest request) {
    boolean isSafe = isSafeToReject(request);
    if (!isSafe) {
      reportViolation("rejected_though_it_may_have_run", request);
    }
    return isSafe;
  }

  /**
   * Returns whether a request may be rejected. The client may send a rejected request again to any
   * endpoint, so it must not have run or must be safe to run twice.
   */
  static boolean isSafeToReject(ProxiedRequest request) {
    return !request.mayHaveRun() || canRepeatAnywhere(request.requestClass());
  }

  private static boolean canRepeatAnywhere(RequestClass requestClass) {
    return switch (requestClass.idempotence()) {
      case IDEMPOTENT -> true;
      case IDEMPOTENCY_KEY -> requestClass.dedupScope() == DedupScope.ALL;
      case NON_IDEMPOTENT -> false;
    };
  }

  /**
   * Logs a decision of the engine that would have broken an invariant and was not carried out. This
   * is a defect of the engine.
   */
  private static void reportViolation(String rule, ProxiedRequest request) {
    LOG.severe(
        "invariant_violated rule="
            + rule
            + " trace_id="
            + LogValues.quoteIfNeeded(request.traceId()));
  }
}
