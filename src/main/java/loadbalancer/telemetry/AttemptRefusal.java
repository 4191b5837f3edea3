package loadbalancer.telemetry;

/** The reasons why an attempt that the decision engine started is not written to a connection. */
public enum AttemptRefusal {
  /** The client no longer waits for a response, or already has its final one. */
  CLIENT_GONE,
  /** The client may have gone: its input has not been read to the end. */
  CLIENT_UNREAD,
  /** The endpoint is draining or gone. */
  ENDPOINT_NOT_READY,
  /** The attempt's deadline or the dedup window of an earlier attempt has passed. */
  TIME_OVER,
  /** The request is not idempotent, and another attempt may have run it. */
  WOULD_RUN_TWICE
}
