package loadbalancer.decision;

/** Decides when a request gets a second attempt while its first is at a silent endpoint. */
record HedgePolicy(DecisionContext context, AdaptiveRateLimiter limiter, OutlierDetector outliers) {

  /**
   * Returns whether to hedge a request: the deployment permits it, the endpoint of its last attempt
   * is silent, the fleet is healthy, and the latency objective has not passed.
   */
  boolean shouldHedge(InFlightRequest request) {
    Attempt last = request.attempts.get(request.attempts.size() - 1);
    return context.settings.limits().hedging()
        && context.settings.limits().cancellation()
        && outliers.isSilent(last.endpoint)
        && limiter.fleetMeanLatency() <= AdaptiveRateLimiter.HEALTHY_LATENCY
        && context.now - request.arrivedAt <= request.type.latencyObjectiveNanos();
  }
}
