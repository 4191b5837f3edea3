package loadbalancer.discovery;

/** Why a call to discovery failed. */
enum DiscoveryFailure {
  /** The process could not open a socket. */
  NO_SOCKET("no socket"),
  /** Nobody accepted the connection in time. */
  CONNECT_FAILED("connect failed"),
  /** The response has a status other than 200. */
  UNEXPECTED_STATUS("unexpected status"),
  /** The response is not HTTP. */
  MALFORMED_RESPONSE("malformed response"),
  /** A list is too long, is not JSON or lacks fields. */
  MALFORMED_LIST("malformed list"),
  /** Nothing was received for too long, or no first list. */
  SILENT("silent"),
  /** A list began and was not completed in time. */
  LIST_INCOMPLETE("list incomplete"),
  /** The response ended: a watch must not, a fetch must not without a list. */
  STREAM_ENDED("stream ended"),
  /** The connection was closed or reset within the response. */
  CONNECTION_LOST("connection lost"),
  /** Handling what was received threw an exception. */
  INTERNAL_ERROR("internal error");

  private final String reason;

  DiscoveryFailure(String reason) {
    this.reason = reason;
  }

  /** What the log calls it. */
  String reason() {
    return reason;
  }

  /** Whether a time limit ended the call, rather than something that was received. */
  boolean isTimeout() {
    return this == SILENT || this == LIST_INCOMPLETE;
  }
}
