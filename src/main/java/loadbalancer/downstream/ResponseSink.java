package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;

/** Where the one final response of a client's request goes. */
public interface ResponseSink {

  /**
   * Responds to the client; a no-op where its connection is closed.
   *
   * @param retryAfterNanos the wait to advise before a retry; 0 for no advice
   * @param contentType null for none
   * @param content stays the caller's to release
   */
  void respond(
      HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content);

  /** Whether the client is still connected, by everything that has arrived from it up to now. */
  boolean isResponseAwaited();
}
