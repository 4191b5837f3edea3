package loadbalancer.decision.api;

/** How an attempt or a health check ended. */
public enum AttemptStatus {
  /** A complete response came. */
  SUCCESS,
  /** The endpoint answered with an error, or with something unreadable. */
  ERROR,
  /** The endpoint rejected the work because it is full. */
  REJECTED,
  /** No complete response came within the attempt's time-out. */
  TIMEOUT,
  /** No connection could be made. */
  CONNECT_FAILED,
  /** The connection broke after the request was sent. */
  RESET,
  /** The attempt was cancelled on this side. */
  CANCELLED,
  /** The request was never written to a connection. */
  NOT_SENT;

  /** Whether this status proves that the endpoint never began to run the request. */
  public boolean provesNotRun() {
    return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
  }
}
