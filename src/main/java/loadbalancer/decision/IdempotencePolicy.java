package loadbalancer.decision;

import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;

/** Decides where a request may be sent, and how it may end, so that it never takes effect twice. */
record IdempotencePolicy(DecisionContext context) {

  /**
   * Returns whether a request may be attempted at an endpoint.
   *
   * @param readyCount the number of ready endpoints
   */
  boolean canAttempt(InFlightRequest request, TrackedEndpoint endpoint, int readyCount) {
    boolean hasOtherEndpoints = readyCount > request.attempts.size();
    for (Attempt earlier : request.attempts) {
      boolean avoided = earlier.endpoint == endpoint && (earlier.inFlight || hasOtherEndpoints);
      if (avoided
          || (earlier.mayHaveRun && !canRepeat(request.type, earlier, endpoint.listEntry))) {
        return false;
      }
    }
    return true;
  }

  private boolean canRepeat(RequestClass type, Attempt earlier, Endpoint endpoint) {
    if (type.idempotence() != Idempotence.IDEMPOTENCY_KEY) {
      return type.idempotence() == Idempotence.IDEMPOTENT;
    }
    Endpoint first = earlier.endpoint.listEntry;
    DedupScope scope = type.dedupScope();
    boolean recognised =
        scope == DedupScope.ALL
            || (scope == DedupScope.ZONE && first.zone().equals(endpoint.zone()))
            || (scope == DedupScope.CELL && first.cell() == endpoint.cell());
    // The window is one tick shorter, because an attempt may be sent up to a tick after it is
    // decided on.
    long retryWindowNanos = type.dedupWindowNanos() - context.settings.tickNanos();
    return recognised && context.now - earlier.startedAt < retryWindowNanos;
  }

  /** Returns whether a request may have run and, not being idempotent, must not run again. */
  static boolean isRetryForbidden(InFlightRequest request) {
    return request.type.idempotence() == Idempotence.NON_IDEMPOTENT && request.mayHaveRun();
  }

  /** Returns whether a request may be rejected, after which the client may safely repeat it. */
  static boolean canReject(InFlightRequest request) {
    Idempotence idempotence = request.type.idempotence();
    boolean keyedForAll =
        idempotence == Idempotence.IDEMPOTENCY_KEY && request.type.dedupScope() == DedupScope.ALL;
    return idempotence == Idempotence.IDEMPOTENT || keyedForAll || !request.mayHaveRun();
  }
}
