package loadbalancer.soak;

/**
 * A violation of an invariant.
 *
 * @param rule the violated rule
 * @param atNanos the time of the violation; {@link Long#MAX_VALUE} if unknown
 * @param traceId the trace id of the request concerned; null if there is none
 * @param detail a description of the observed behavior
 */
record Violation(Rule rule, long atNanos, String traceId, String detail) {

  /** The rules that are checked. */
  enum Rule {
    /** A request that a live proxy accepted got no final response in time. */
    DROPPED_REQUEST,
    /** A client received a response with status 200 that no upstream sent for its request. */
    WRONG_RESPONSE,
    /**
     * A request ran more often than its class allows, or again after its deduplication window, or
     * an at-most-once request was rejected though it may have run.
     */
    DUPLICATE,
    /** An attempt reached a draining or removed endpoint after the grace period. */
    DRAINING_ENDPOINT,
    /** A warming endpoint received more attempts than its current capacity allows. */
    SLOW_START,
    /** An attempt began after its client had closed the connection. */
    CLIENT_GONE,
    /** An attempt stated more remaining time than was left until the deadline. */
    DEADLINE_PROPAGATION,
    /** A client that sent an incomplete request got neither an error nor a close in time. */
    BAD_CLIENT,
    /**
     * A process ended unexpectedly or with a nonzero status, or its log shows a defect such as a
     * failure of the decision engine.
     */
    CRASH,
    /** A process was not ready in time. */
    START
  }
}
