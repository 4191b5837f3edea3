package loadbalancer.decision.api;

/**
 * The figures that the platform holds every load balancer to.
 *
 * @param responseSlackNanos time past a request's deadline by which it must have its final answer
 * @param maxPollIntervalNanos time within which a list that is not watched has to be polled again;
 *     0 where the list is pushed
 * @param drainGraceNanos time for which attempts may still be sent to a draining or gone endpoint
 * @param initialCapacity the part of its capacity that an endpoint has at its start, above 0 and at
 *     most 1
 * @param slowStartNanos time after its start at which an endpoint surely has all its capacity
 * @param overloadMultiple multiple of its present capacity above which a warming endpoint
 *     collapses, above 0
 * @param overloadWindowNanos time for which it has to get more than that to collapse, not negative
 */
public record ServiceContract(
    long responseSlackNanos,
    long maxPollIntervalNanos,
    long drainGraceNanos,
    double initialCapacity,
    long slowStartNanos,
    double overloadMultiple,
    long overloadWindowNanos) {}
