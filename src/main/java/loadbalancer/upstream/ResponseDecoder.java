package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes responses and rejects header lines without a colon. Netty's decoder takes the first word
 * of such a line for a header name, and so a response damaged there for a good one.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("response header line without a name and a colon");
    }
    return super.splitHeaderName(line, start, length);
  }
}
