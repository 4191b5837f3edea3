package loadbalancer.discovery;

import io.netty.handler.codec.json.JsonObjectDecoder;

/**
 * Cuts the body of a response into its lists, each a JSON object, and passes them on one by one.
 * Lines do not separate them, because a list may be indented and span several.
 */
final class EndpointListFramer extends JsonObjectDecoder {

  /** Bytes of the longest list accepted: thousands of endpoints with all fields, indented. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  EndpointListFramer() {
    super(MAX_LIST_BYTES);
  }

  /** Whether a list has begun that is not complete. */
  boolean isWithinList() {
    return actualReadableBytes() > 0;
  }
}
