package loadbalancer.downstream;

/** What is known of the client that a response is for. */
public enum ClientPresence {
  /** All of the client's input has been read, and the client waits for the response. */
  WAITING,
  /**
   * The client has disconnected or half-closed its connection, or the response has been sent. No
   * attempt may begin for it.
   */
  GONE,
  /**
   * Input is still unread, behind which the end of the connection may be hidden. No attempt may
   * begin, as the client may have gone long ago.
   */
  UNKNOWN
}
