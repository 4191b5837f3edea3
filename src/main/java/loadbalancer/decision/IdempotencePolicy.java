package loadbalancer.decision;

import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;

/** Says where a request may go, and how it may end, without the risk that it takes effect twice. */
record IdempotencePolicy(DecisionContext context) {

  /** Whether a request may be attempted at an endpoint, one of so many that are ready. */
  boolean mayAttempt(InFlightRequest request, TrackedEndpoint endpoint, int readyCount) {
    boolean othersLeft = readyCount > request.attempts.size();
    for (Attempt earlier : request.attempts) {
      boolean avoided = earlier.endpoint == endpoint && (earlier.inFlight || othersLeft);
      if (avoided || (earlier.mayHaveRun && !mayRepeat(request.type, earlier, endpoint.listing))) {
        return false;
      }
    }
    return true;
  }

  private boolean mayRepeat(RequestClass type, Attempt earlier, Endpoint endpoint) {
    if (type.idempotence() != Idempotence.IDEMPOTENCY_KEY) {
      return type.idempotence() == Idempotence.IDEMPOTENT;
    }
    Endpoint first = earlier.endpoint.listing;
    DedupScope scope = type.dedupScope();
    boolean recognised =
        scope == DedupScope.ALL
            || (scope == DedupScope.ZONE && first.zone().equals(endpoint.zone()))
            || (scope == DedupScope.CELL && first.cell() == endpoint.cell());
    // A tick less than the window: the attempt may be sent a tick after its decision.
    long window = type.dedupWindowNanos() - context.settings.tickNanos();
    return recognised && context.now - earlier.startedAt < window;
  }

  /** Whether no endpoint may get the request any more. */
  static boolean isSpent(InFlightRequest request) {
    return request.type.idempotence() == Idempotence.NON_IDEMPOTENT && request.mayHaveRun();
  }

  /** Whether the client does no harm if it repeats the request, as a rejection lets it. */
  static boolean mayReject(InFlightRequest request) {
    Idempotence idempotence = request.type.idempotence();
    boolean keyedForAll =
        idempotence == Idempotence.IDEMPOTENCY_KEY && request.type.dedupScope() == DedupScope.ALL;
    return idempotence == Idempotence.IDEMPOTENT || keyedForAll || !request.mayHaveRun();
  }
}
