package loadbalancer.decision;

import loadbalancer.decision.SlidingWindow.Metric;

/**
 * Limits the rate at which requests are admitted, for each route (class, tenant, and whether over
 * quota). The allowed rate falls linearly with the mean latency of the window, by the published
 * formula. Latencies are in multiples of the latency objective. Owns the window of the fleet.
 */
final class AdaptiveRateLimiter {

  static final double HEALTHY_LATENCY = 0.5; // mean latency up to which all are admitted
  private static final double CRITICAL_LATENCY = 1.0; // mean latency from which few are admitted
  private static final double MAX_RATE_FACTOR = 1.1; // maximum rate over the offered rate
  private static final double MIN_RATE_FRACTION = 0.02; // minimum rate over the maximum rate
  // Longest time between admissions. With long objectives, the allowed rate alone may admit nothing
  // for longer, and an instance that rejects everything would not notice that endpoints recovered.
  private static final long MAX_ADMISSION_GAP_NANOS = 2 * DecisionContext.SECOND_NANOS;
  private static final double OVER_QUOTA_LATENCY_FACTOR = 0.3; // of both latencies, at weight 0
  private static final double BASELINE_WINDOWS = 2; // covered by the mean: surges are faster

  private final DecisionContext context;
  private final EndpointRegistry registry;
  private final SlidingWindow fleet;
  private double baselineLoad; // mean load of a ready endpoint while the fleet is healthy
  private double baselineNanos; // time that the mean covers so far
  private long lastAdmittedAt;

  AdaptiveRateLimiter(DecisionContext context, EndpointRegistry registry) {
    this.context = context;
    this.registry = registry;
    fleet = new SlidingWindow(context.windowNanos, 0);
  }

  /**
   * Returns the allowed rate: {@code maxRate} for a mean latency of {@code minMean} or less, {@code
   * minRate} for {@code maxMean} or more, and linear in between.
   */
  static double allowedRate(
      double mean, double minMean, double maxMean, double maxRate, double minRate) {
    double fraction = Math.min(1, Math.max(0, (mean - minMean) / (maxMean - minMean)));
    return maxRate + fraction * (minRate - maxRate);
  }

  /**
   * Counts a request as offered and returns whether it is admitted.
   *
   * @param queued the number of queued requests
   */
  boolean tryAdmit(InFlightRequest request, int queued) {
    SlidingWindow route = request.routeWindow;
    request.keyWindow.add(context.now, Metric.OFFERED, 1);
    route.add(context.now, Metric.OFFERED, 1);
    fleet.add(context.now, Metric.OFFERED, 1);
    // Requests of less weight are rejected sooner, so a tenant over its quota is throttled first.
    double weight = context.settings.overQuotaWeight();
    double latencyFactor =
        request.isOverQuota
            ? OVER_QUOTA_LATENCY_FACTOR + (1 - OVER_QUOTA_LATENCY_FACTOR) * weight
            : 1;
    double mean = worseMeanLatency(request);
    double maxRate = route.total(context.now, Metric.OFFERED) * MAX_RATE_FACTOR;
    double allowed =
        allowedRate(
            mean,
            HEALTHY_LATENCY * latencyFactor,
            CRITICAL_LATENCY * latencyFactor,
            maxRate,
            maxRate * MIN_RATE_FRACTION);
    // With less load than while the fleet is healthy, this instance does not cause the overload.
    boolean isBelowBaseline = registry.readyLoad + queued < baselineLoad * registry.ready.length;
    boolean isWithinQuotaBelowBaseline =
        isBelowBaseline && request.hasQuota && !request.isOverQuota;
    boolean hasReachedMaxGap = context.now - lastAdmittedAt >= MAX_ADMISSION_GAP_NANOS;
    if (route.total(context.now, Metric.ADMITTED) >= allowed
        && !isWithinQuotaBelowBaseline
        && !hasReachedMaxGap) {
      return false;
    }
    lastAdmittedAt = context.now;
    route.add(context.now, Metric.ADMITTED, 1);
    return true;
  }

  void addSample(InFlightRequest request, double latency) {
    request.routeWindow.addSample(context.now, latency);
    fleet.addSample(context.now, latency);
  }

  /**
   * Returns the mean latency of a request's route, or that of the fleet if it is higher: a slow
   * fleet is not caused by one route.
   */
  double worseMeanLatency(InFlightRequest request) {
    return Math.max(request.routeWindow.mean(context.now), fleetMeanLatency());
  }

  double fleetMeanLatency() {
    return fleet.mean(context.now);
  }

  /** Returns the fraction of all offered requests that have this one's route and affinity key. */
  double keyShare(InFlightRequest request) {
    double offered = request.keyWindow.total(context.now, Metric.OFFERED);
    return offered / Math.max(1, fleet.total(context.now, Metric.OFFERED));
  }

  void onSweep() {
    if (fleetMeanLatency() <= HEALTHY_LATENCY) {
      // A plain mean at first: a moving one that began at 0 would be too low for seconds.
      double maxNanos = BASELINE_WINDOWS * context.windowNanos;
      baselineNanos = Math.min(baselineNanos + context.sweepNanos, maxNanos);
      double load = registry.readyLoad / Math.max(1, registry.ready.length);
      baselineLoad += (load - baselineLoad) * context.sweepNanos / baselineNanos;
    }
  }
}
