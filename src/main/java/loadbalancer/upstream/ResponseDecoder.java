package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes responses and rejects header lines without a colon. Netty's decoder takes the first word
 * of such a line for a header name, and so a response damaged there for a good one.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  /** The first line of a response has been decoded, and its end has not been reported. */
  private boolean hasResponseStarted;

  /** Returns whether a part of a response has come in that has not been passed on whole. */
  boolean hasPartialResponse() {
    return hasResponseStarted || actualReadableBytes() > 0;
  }

  /** The response that had started has been passed on whole. */
  void responseEnded() {
    hasResponseStarted = false;
  }

  @Override
  protected HttpMessage createMessage(String[] initialLine) {
    hasResponseStarted = true;
    return super.createMessage(initialLine);
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("response header line without a name and a colon");
    }
    return super.splitHeaderName(line, start, length);
  }
}
