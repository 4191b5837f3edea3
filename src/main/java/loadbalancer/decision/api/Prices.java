package loadbalancer.decision.api;

/**
 * The cost of one unit of each kind, in points of the overall result.
 *
 * @param crossZone cost of an attempt outside the instance's zone
 * @param waste cost of work that no client benefits from
 * @param lateFailure cost of a failure that the client learns of late
 */
public record Prices(double crossZone, double waste, double lateFailure) {}
