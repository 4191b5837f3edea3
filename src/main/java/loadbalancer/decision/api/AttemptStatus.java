package loadbalancer.decision.api;

/** The outcome of an attempt or of a health check. */
public enum AttemptStatus {
  /** A complete response arrived. */
  SUCCESS,
  /** The endpoint answered with an error, or its response could not be parsed. */
  ERROR,
  /** The endpoint rejected the request because it has no free capacity. */
  REJECTED,
  /** No complete response arrived within the attempt's time-out. */
  TIMEOUT,
  /** No connection could be established. */
  CONNECT_FAILED,
  /** The connection broke after the request was sent. */
  RESET,
  /** The load balancer cancelled the attempt. */
  CANCELLED,
  /** The request was never written to a connection. */
  NOT_SENT;

  /** Returns whether this status proves that the endpoint never began to run the request. */
  public boolean provesNotRun() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
