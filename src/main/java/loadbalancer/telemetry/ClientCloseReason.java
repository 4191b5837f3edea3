package loadbalancer.telemetry;

/** The reasons why a client connection ends. */
public enum ClientCloseReason {
  /** The client has closed or reset the connection. */
  CLIENT,
  /** The client took longer than the connection's state permits. */
  TIMEOUT,
  /** Its descriptor was needed for another connection. */
  SHED,
  /** It was idle when the proxy shut down. */
  SHUTDOWN,
  /** The last response had been written, and the client had ended its sending before. */
  LAST_RESPONSE,
  /** Reading from it or writing to it failed. */
  FAILURE
}
