package loadbalancer.decision;

/** Decides when a request gets a second attempt while its first is at a silent endpoint. */
record HedgePolicy(DecisionContext context, AdaptiveRateLimiter limiter, OutlierDetector outliers) {

  /**
   * Returns whether to hedge a request: the deployment permits it, the endpoint of its last attempt
   * is silent, the fleet is healthy, and the latency objective has not passed.
   */
  boolean allows(InFlightRequest request) {
    Attempt last = request.attempts.get(request.attempts.size() - 1);
    return context.settings.limits().hedging()
        && context.settings.limits().cancellation()
        && outliers.isSilent(last.endpoint)
        && limiter.fleetMean() <= AdaptiveRateLimiter.MIN_VALUE
        && context.now - request.arrivedAt <= request.type.latencyObjectiveNanos();
  }
}
