package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The receiver of the one final response to a client's request. */
public interface ResponseSink {

  /**
   * Sends the response to the client, or does nothing if the connection is closed.
   *
   * @param retryAfterNanos the advised delay before a retry; 0 for none
   * @param contentType type of the content; null for none
   * @param content body of the response, which the caller still has to release
   */
  void respond(
      HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content);

  /** Returns what is known of the client. Pending input is read first, up to a limit. */
  ClientPresence clientPresence();

  /** Returns the number of the client connection that the response is sent on, for log lines. */
  long connectionNumber();
}
