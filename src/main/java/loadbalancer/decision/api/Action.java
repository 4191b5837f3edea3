package loadbalancer.decision.api;

/** What the decision engine asks its load balancer instance to do. */
public sealed interface Action {

  /**
   * Start an attempt. A request's attempts count 0, 1, 2 ... in starting order.
   *
   * @param timeoutNanos time after which the attempt ends with {@link AttemptStatus#TIMEOUT}; 0
   *     where the request's deadline alone limits it
   */
  record StartAttempt(String requestId, long endpointId, long timeoutNanos) implements Action {}

  /** Stop waiting for an attempt. The endpoint may or may not stop working on it. */
  record CancelAttempt(String requestId, int attempt) implements Action {}

  /**
   * Final answer: rejected, and the client does no harm by sending the request again.
   *
   * @param retryAfterNanos the wait to advise before the client retries; 0 for no advice
   */
  record RejectRequest(String requestId, long retryAfterNanos) implements Action {}

  /** Final answer: failed; the request may have run. */
  record FailRequest(String requestId) implements Action {}

  /** Deliver {@link Event.TimerFired} with this token at a clock reading, or soon after it. */
  record SetTimer(String token, long atNanos) implements Action {}

  /** Subscribe to the endpoint list, or stop. One {@link Event.EndpointListUpdate} answers. */
  record WatchEndpoints(boolean enabled) implements Action {}

  /** Fetch the complete endpoint list once. */
  record FetchEndpoints() implements Action {}

  /** Check the health of an endpoint. */
  record CheckHealth(long endpointId) implements Action {}

  /** Close this instance's idle connections to an endpoint. */
  record CloseIdleConnections(long endpointId) implements Action {}

  /** Send at most 256 bytes to one instance of the group, or to all where {@code to} is -1. */
  record SendGossip(int to, byte[] data) implements Action {}

  /** Write a line to the instance's log. */
  record LogMessage(String text) implements Action {}
}
