package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.math.BigDecimal;

/** A factory of the HTTP responses to clients. */
final class ResponseFactory {

  private static final double NANOS_PER_MILLI = 1e6;

  /**
   * Number of decimals of {@code Retry-After}, which is in seconds with a resolution of
   * milliseconds.
   */
  private static final int RETRY_AFTER_DECIMALS = 3;

  private ResponseFactory() {}

  /**
   * Creates a response that owns a retained duplicate of the content; see {@link
   * ResponseSink#respond}.
   */
  static FullHttpResponse create(
      HttpResponseStatus status,
      long retryAfterNanos,
      CharSequence contentType,
      ByteBuf content,
      boolean keepAlive) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content.retainedDuplicate());
    HttpHeaders headers = response.headers();
    headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    if (contentType != null) {
      headers.set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    if (retryAfterNanos > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds(retryAfterNanos));
    }
    HttpUtil.setKeepAlive(response, keepAlive);
    return response;
  }

  private static String retryAfterSeconds(long nanos) {
    long millis = (long) Math.ceil(nanos / NANOS_PER_MILLI);
    return BigDecimal.valueOf(millis, RETRY_AFTER_DECIMALS).toPlainString();
  }
}
