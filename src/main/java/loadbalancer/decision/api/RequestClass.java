package loadbalancer.decision.api;

/**
 * A class of requests, with the objectives and the retry rules that they share.
 *
 * <p>A response within {@code latencyObjectiveNanos + objectiveStretch * own work} earns {@code
 * priorityWeight}; a later one before the deadline earns the fraction {@code lateWeight} of it.
 *
 * @param name the class's name, unique among the classes
 * @param idempotence whether a request may run more than once
 * @param dedupScope the endpoints that recognise a repeat by its idempotency key
 * @param dedupWindowNanos time for which they recognise it
 * @param latencyObjectiveNanos the latency objective of a response, above 0
 * @param objectiveStretch multiple of the request's own work that is added to the objective
 * @param deadlineNanos time after which a response is of no use, above 0
 * @param priorityWeight the value of a response in time, not negative
 * @param lateWeight the fraction of that value that a late response has, not negative
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
