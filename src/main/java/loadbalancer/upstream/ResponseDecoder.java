package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes responses and rejects header lines that have no colon right after the name. Netty's
 * decoder takes the first word of such a line as the header name and so accepts a damaged response.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  /** True from the decoding of a status line until the end of that response is reported. */
  private boolean hasResponseStarted;

  /** Returns whether a response has been received in part, or not yet been reported as ended. */
  boolean hasPartialResponse() {
    return hasResponseStarted || actualReadableBytes() > 0;
  }

  /** Records that the current response has been passed on completely. */
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
