package loadbalancer.discovery;

import io.netty.handler.codec.json.JsonObjectDecoder;

/**
 * Splits the body of a response into lists, each a JSON object, and passes them on one by one. It
 * does not split at line breaks because an indented list spans several lines.
 */
final class EndpointListFramer extends JsonObjectDecoder {

  /** The maximum size of a list, enough for thousands of endpoints with all fields, indented. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  EndpointListFramer() {
    super(MAX_LIST_BYTES);
  }

  /** Returns whether a list has been received in part. */
  boolean isWithinList() {
    return actualReadableBytes() > 0;
  }
}
