package loadbalancer.decision.api;

/**
 * The time limits that the platform sets for every load balancer, and the behaviour of warming
 * endpoints that it has to expect.
 *
 * @param responseSlackNanos time after a request's deadline within which it must get its final
 *     answer
 * @param maxPollIntervalNanos the longest time between two polls of an endpoint list that is not
 *     watched; 0 if the list is pushed
 * @param drainGraceNanos time for which a draining or gone endpoint may still get attempts
 * @param initialCapacity the fraction of its capacity that an endpoint has at its start, above 0
 *     and at most 1
 * @param slowStartNanos time after its start at which an endpoint surely has its full capacity
 * @param overloadMultiple multiple of its present capacity above which the load makes a warming
 *     endpoint collapse, above 0
 * @param overloadWindowNanos time for which the load has to exceed that multiple before the
 *     endpoint collapses, not negative
 */
public record ServiceContract(
    long responseSlackNanos,
    long maxPollIntervalNanos,
    long drainGraceNanos,
    double initialCapacity,
    long slowStartNanos,
    double overloadMultiple,
    long overloadWindowNanos) {}
