package loadbalancer.decision.api;

/**
 * The figures that the platform holds every load balancer to.
 *
 * @param responseSlackNanos time past a request's deadline by which it must have its final answer
 * @param pollWithinNanos time within which the endpoint list is to be polled again; 0 where the
 *     list is pushed
 * @param drainGraceNanos time for which a draining endpoint still finishes what it has
 * @param initialCapacity the part of its capacity that an endpoint has at its start, above 0 and at
 *     most 1
 * @param slowStartNanos time after its start at which an endpoint surely has all its capacity
 * @param overloadMultiple times the usual load from which a warming endpoint may fail, above 0
 * @param overloadWindowNanos time over which that load is measured
 */
public record ServiceContract(
    long responseSlackNanos,
    long pollWithinNanos,
    long drainGraceNanos,
    double initialCapacity,
    long slowStartNanos,
    double overloadMultiple,
    long overloadWindowNanos) {}
