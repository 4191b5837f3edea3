package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import loadbalancer.http.HeadMemory;

/**
 * Decodes responses and rejects header lines that have no colon right after the name. Netty's
 * decoder takes the first word of such a line as the header name and so accepts a damaged response.
 */
final class ResponseDecoder extends HttpResponseDecoder {

  /** True from the decoding of a status line until {@link #responseEnded} is called. */
  private boolean hasResponseStarted;

  /**
   * Creates the decoder of one connection.
   *
   * @param headMemory memory for the responses' heads
   */
  ResponseDecoder(HeadMemory headMemory) {
    super(headMemory.decoderConfig());
  }

  /** Returns whether any bytes of a response have arrived since {@link #responseEnded}. */
  boolean hasPartialResponse() {
    return hasResponseStarted || hasUndecodedBytes();
  }

  /**
   * Returns whether bytes have arrived that are not part of any message decoded so far. They would
   * be taken for the start of the next response.
   */
  boolean hasUndecodedBytes() {
    return actualReadableBytes() > 0;
  }

  /** Records that the current response has been passed on completely or is abandoned. */
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
