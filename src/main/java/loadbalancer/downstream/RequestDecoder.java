package loadbalancer.downstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import loadbalancer.http.HeadMemory;

/**
 * A decoder of requests that tracks whether one has arrived only in part. Decoding fails for a
 * request with two lengths, or with both a length and Transfer-Encoding.
 */
final class RequestDecoder extends HttpRequestDecoder {

  /** True from the decoding of a request's first line until {@link #requestEnded}. */
  private boolean requestStarted;

  /**
   * Creates the decoder of one connection.
   *
   * @param headMemory memory for the requests' heads
   */
  RequestDecoder(HeadMemory headMemory) {
    super(headMemory.decoderConfig());
  }

  /** Returns whether a request has begun to arrive and has not yet been passed on as a whole. */
  boolean hasPartialRequest() {
    return requestStarted || actualReadableBytes() > 0;
  }

  /** Returns how many bytes have been read and not decoded, as their line is incomplete. */
  int undecodedBytes() {
    return actualReadableBytes();
  }

  /** Records that the request that had started has been passed on as a whole. */
  void requestEnded() {
    requestStarted = false;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    requestStarted = true;
    return super.createMessage(initialLine);
  }
}
