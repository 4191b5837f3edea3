package loadbalancer.decision;

/** Says when a request is to have a second attempt beside one at a silent endpoint. */
record HedgePolicy(DecisionContext context, AdaptiveRateLimiter limiter, OutlierDetector outliers) {

  /** Whether the deployment, the health of the fleet and the time left call for a hedge. */
  boolean allows(InFlightRequest request) {
    Attempt last = request.attempts.get(request.attempts.size() - 1);
    return context.settings.limits().hedging()
        && context.settings.limits().cancellation()
        && outliers.isSilent(last.endpoint)
        && limiter.fleetMean() <= AdaptiveRateLimiter.MIN_VALUE
        && context.now - request.arrivedAt <= request.type.latencyObjectiveNanos();
  }
}
