package loadbalancer.decision.api;

/** An action that the decision engine asks its load balancer instance to carry out. */
public sealed interface Action {

  /**
   * Starts an attempt. A request's attempts are numbered 0, 1, 2 ... in starting order.
   *
   * @param timeoutNanos time after which the attempt ends with {@link AttemptStatus#TIMEOUT}; 0 if
   *     only the request's deadline limits it
   */
  record StartAttempt(String requestId, long endpointId, long timeoutNanos) implements Action {}

  /** Stops waiting for an attempt. The endpoint may or may not stop working on it. */
  record CancelAttempt(String requestId, int attempt) implements Action {}

  /**
   * Rejects a request as its final answer. The client does no harm by sending it again.
   *
   * @param retryAfterNanos the wait advised to the client before it retries; 0 for no advice
   */
  record RejectRequest(String requestId, long retryAfterNanos) implements Action {}

  /** Fails a request as its final answer. The request may have run. */
  record FailRequest(String requestId) implements Action {}

  /** Requests {@link Event.TimerFired} with this token at a clock reading, or soon after it. */
  record SetTimer(String token, long atNanos) implements Action {}

  /**
   * Subscribes to the endpoint list, or unsubscribes from it. One {@link Event.EndpointListUpdate}
   * answers it.
   */
  record WatchEndpoints(boolean enabled) implements Action {}

  /** Fetches the complete endpoint list once. */
  record FetchEndpoints() implements Action {}

  /** Checks the health of an endpoint. */
  record CheckHealth(long endpointId) implements Action {}

  /** Closes this instance's idle connections to an endpoint. */
  record CloseIdleConnections(long endpointId) implements Action {}

  /** Sends at most 256 bytes to one instance of the group, or to all if {@code to} is -1. */
  record SendGossip(int to, byte[] data) implements Action {}

  /** Writes a line to the instance's log. */
  record LogMessage(String text) implements Action {}
}
