package loadbalancer.downstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * A decoder of requests that tracks whether one has arrived only in part. Decoding fails for a
 * request with two lengths, or with both a length and Transfer-Encoding.
 */
final class RequestDecoder extends HttpRequestDecoder {

  /** True from the decoding of a request's first line until {@link #requestEnded}. */
  private boolean requestStarted;

  RequestDecoder() {
    super(new HttpDecoderConfig());
  }

  /** Returns whether a request has begun to arrive and has not yet been passed on as a whole. */
  boolean hasPartialRequest() {
    return requestStarted || actualReadableBytes() > 0;
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
