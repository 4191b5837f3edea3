package loadbalancer.decision;

import loadbalancer.decision.SlidingWindow.Metric;

/**
 * Admits by the published line from windowed mean latency, in parts of the latency objective, to
 * allowed rate. Its key is the route: class, tenant, over quota or not. Owns the fleet's window.
 */
final class AdaptiveRateLimiter {

  static final double MIN_VALUE = 0.5; // mean latency: half an objective is healthy
  private static final double MAX_VALUE = 1.0; // and a whole one critical
  private static final double HEADROOM = 1.1; // maximum rate over what the window was offered
  private static final double MIN_RATE_PART = 0.02; // minimum rate over the maximum
  // Between admissions. With long objectives the line alone may admit nothing for longer, and an
  // instance that rejects everything would not learn that its endpoints are better.
  private static final long MAX_PAUSE_NANOS = 2 * DecisionContext.SECOND_NANOS;
  private static final double OVER_QUOTA_LINE = 0.3; // of these latencies, for what earns nothing
  private static final double USUAL_WINDOWS = 2; // over which load is a mean: a crowd forms faster

  private final DecisionContext context;
  private final EndpointRegistry registry;
  private final SlidingWindow fleet;
  private double usualLoad; // in flight at one ready endpoint while the fleet is healthy
  private double usualLoadNanos; // time that this mean covers
  private long admittedAt;

  AdaptiveRateLimiter(DecisionContext context, EndpointRegistry registry) {
    this.context = context;
    this.registry = registry;
    fleet = new SlidingWindow(context.windowNanos, 0);
  }

  /** On a straight line from maxRate at minValue and below to minRate at maxValue and above. */
  static double allowedRate(
      double mean, double minValue, double maxValue, double maxRate, double minRate) {
    double part = Math.min(1, Math.max(0, (mean - minValue) / (maxValue - minValue)));
    return maxRate + part * (minRate - maxRate);
  }

  /** Counts a request as offered and says whether it is admitted, with so many queued. */
  boolean admit(InFlightRequest request, int queued) {
    SlidingWindow route = request.routeWindow;
    request.keyWindow.add(context.now, Metric.OFFERED, 1);
    route.add(context.now, Metric.OFFERED, 1);
    fleet.add(context.now, Metric.OFFERED, 1);
    // What earns less is rejected sooner: a tenant over its quota throttles itself first.
    double weight = context.settings.overQuotaWeight();
    double line = request.overQuota ? OVER_QUOTA_LINE + (1 - OVER_QUOTA_LINE) * weight : 1;
    double mean = worseMean(request);
    double maxRate = route.total(context.now, Metric.OFFERED) * HEADROOM;
    double allowed =
        allowedRate(mean, MIN_VALUE * line, MAX_VALUE * line, maxRate, maxRate * MIN_RATE_PART);
    // With no more in flight than in health, an overload is not of this instance's making.
    boolean idle = registry.readyLoad + queued < usualLoad * registry.ready.length;
    boolean isProtected = idle && request.hasQuota && !request.overQuota;
    boolean isPaused = context.now - admittedAt >= MAX_PAUSE_NANOS;
    if (route.total(context.now, Metric.ADMITTED) >= allowed && !isProtected && !isPaused) {
      return false;
    }
    admittedAt = context.now;
    route.add(context.now, Metric.ADMITTED, 1);
    return true;
  }

  void addSample(InFlightRequest request, double latency) {
    request.routeWindow.addSample(context.now, latency);
    fleet.addSample(context.now, latency);
  }

  /** Mean latency of the route, or of the fleet where that is worse: it is no one route's doing. */
  double worseMean(InFlightRequest request) {
    return Math.max(request.routeWindow.mean(context.now), fleetMean());
  }

  double fleetMean() {
    return fleet.mean(context.now);
  }

  /** The part of all requests offered that have this one's affinity key. */
  double keyShare(InFlightRequest request) {
    double offered = request.keyWindow.total(context.now, Metric.OFFERED);
    return offered / Math.max(1, fleet.total(context.now, Metric.OFFERED));
  }

  void onSweep() {
    if (fleetMean() <= MIN_VALUE) {
      // A plain mean at first: one that began at 0 would be too low for seconds after a start.
      double most = USUAL_WINDOWS * context.windowNanos;
      usualLoadNanos = Math.min(usualLoadNanos + context.sweepNanos, most);
      double load = registry.readyLoad / Math.max(1, registry.ready.length);
      usualLoad += (load - usualLoad) * context.sweepNanos / usualLoadNanos;
    }
  }
}
