package loadbalancer.discovery;

/** The reason why a call to discovery failed. */
enum DiscoveryFailure {
  /** The process could not open a socket. */
  NO_SOCKET("no socket"),
  /** The connection could not be established, for example because it was refused. */
  CONNECT_FAILED("connect failed"),
  /** The response has a status other than 200. */
  UNEXPECTED_STATUS("unexpected status"),
  /** The response could not be decoded as HTTP. */
  MALFORMED_RESPONSE("malformed response"),
  /** A list is too long, is not valid JSON, or has missing or malformed fields. */
  MALFORMED_LIST("malformed list"),
  /** No first byte, first list or further data was received in time. */
  SILENT("silent"),
  /** A list was received in part and not completed in time. */
  LIST_INCOMPLETE("list incomplete"),
  /** The response of a watch ended, or that of a fetch ended without a list. */
  STREAM_ENDED("stream ended"),
  /** The connection was closed or reset before the response was complete. */
  CONNECTION_LOST("connection lost"),
  /** Handling the received data threw an exception. */
  INTERNAL_ERROR("internal error");

  private final String reason;

  DiscoveryFailure(String reason) {
    this.reason = reason;
  }

  /** Returns the reason as it is written to the log. */
  String reason() {
    return reason;
  }

  /** Returns whether the call failed because a time limit was exceeded. */
  boolean isTimeout() {
    return this == SILENT || this == LIST_INCOMPLETE;
  }
}
