package loadbalancer.downstream;

import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import loadbalancer.http.MessageMemoryException;

/**
 * A response that does not come from the {@link RequestHandler}: the result of a health check, or
 * an error that states why a request is rejected.
 *
 * @param message the body of the response, one line without a line terminator
 */
record LocalReply(HttpResponseStatus status, String message) implements RoutingResult {

  static LocalReply badRequest(String message) {
    return new LocalReply(HttpResponseStatus.BAD_REQUEST, message);
  }

  /**
   * Returns the error for a request that could not be read because it is invalid or because the
   * proxy failed.
   */
  static LocalReply forFailure(Throwable cause) {
    return cause instanceof CodecException
        ? forDecodingFailure(cause)
        : new LocalReply(HttpResponseStatus.INTERNAL_SERVER_ERROR, "request cannot be read");
  }

  /**
   * Returns the error for a request whose decoding failed. One that found no memory may be sent
   * again.
   */
  static LocalReply forDecodingFailure(Throwable cause) {
    if (cause instanceof MessageMemoryException) {
      return new LocalReply(HttpResponseStatus.SERVICE_UNAVAILABLE, cause.getMessage());
    }
    if (cause instanceof TooLongHttpContentException) {
      return new LocalReply(
          HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "request body exceeds its limit");
    }
    if (cause instanceof TooLongHttpLineException) {
      return new LocalReply(
          HttpResponseStatus.REQUEST_URI_TOO_LONG, "request line exceeds its limit");
    }
    if (cause instanceof TooLongHttpHeaderException) {
      return new LocalReply(
          HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "request headers exceed their limit");
    }
    return badRequest("malformed request");
  }
}
