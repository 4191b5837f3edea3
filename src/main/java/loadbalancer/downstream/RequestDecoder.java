package loadbalancer.downstream;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests, and tells whether one has started that has not arrived completely. It fails a
 * request with two lengths, or with a length and Transfer-Encoding.
 */
final class RequestDecoder extends HttpRequestDecoder {

  /** The first line of a request has been decoded, and its end has not been reported. */
  private boolean requestStarted;

  RequestDecoder() {
    super(new HttpDecoderConfig());
  }

  /** Whether a part of a request has arrived that has not been passed on whole. */
  boolean hasPartialRequest() {
    return requestStarted || actualReadableBytes() > 0;
  }

  /** The request that had started has been passed on whole. */
  void requestEnded() {
    requestStarted = false;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) throws Exception {
    requestStarted = true;
    return super.createMessage(initialLine);
  }
}
