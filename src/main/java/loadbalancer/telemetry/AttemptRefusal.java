package loadbalancer.telemetry;

/** The reason why an attempt that the decision engine started was not written to a connection. */
public enum AttemptRefusal {
  /** The client no longer waits for a response, or already has its final one. */
  CLIENT_GONE,
  /** The endpoint is draining or gone. */
  ENDPOINT_NOT_READY,
  /** The attempt's deadline or the dedup window of an earlier attempt has passed. */
  TIME_OVER,
  /** The request is not idempotent, and another attempt may have run it. */
  WOULD_RUN_TWICE
}
