package loadbalancer.decision.api;

/**
 * A class of requests.
 *
 * <p>A response within {@code latencyObjectiveNanos + objectiveStretch * own work} earns {@code
 * priorityWeight}; a later one before the deadline earns the part {@code lateWeight} of it.
 *
 * @param name unique among the classes
 * @param idempotence whether a request may run again
 * @param dedupScope which endpoints recognise a repeat by its idempotency key
 * @param dedupWindowNanos time within which they recognise it
 * @param latencyObjectiveNanos response time wanted, above 0
 * @param objectiveStretch multiple of the request's own work that is added to the objective
 * @param deadlineNanos time after which a response is of no use, above 0
 * @param priorityWeight what a response in time earns, not negative
 * @param lateWeight the part of it that a late one earns, not negative
 * @param streaming whether responses may be streamed
 */
public record RequestClass(
    String name,
    Idempotence idempotence,
    DedupScope dedupScope,
    long dedupWindowNanos,
    long latencyObjectiveNanos,
    double objectiveStretch,
    long deadlineNanos,
    double priorityWeight,
    double lateWeight,
    boolean streaming) {}
