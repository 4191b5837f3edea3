package loadbalancer.decision.api;

/**
 * What one unit costs, in points of the overall result.
 *
 * @param crossZone an attempt outside the instance's zone
 * @param waste work that no client benefits from
 * @param lateFailure a failure that comes late
 */
public record Prices(double crossZone, double waste, double lateFailure) {}
