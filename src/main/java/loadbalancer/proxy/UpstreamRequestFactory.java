package loadbalancer.proxy;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.http.HttpProtocol;

/** Creates the requests that are sent to endpoints. */
final class UpstreamRequestFactory {

  /** Headers that apply to one connection instead of the request. */
  private static final List<AsciiString> HOP_BY_HOP =
      List.of(
          HttpHeaderNames.CONNECTION,
          AsciiString.cached("keep-alive"),
          AsciiString.cached("proxy-connection"),
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private UpstreamRequestFactory() {}

  /**
   * Creates the request to forward: the received one without hop-by-hop headers. It shares the
   * received body, and holds a reference to it.
   *
   * @param timeoutNanos time for which the proxy waits for the response
   */
  static FullHttpRequest forward(FullHttpRequest received, long timeoutNanos) {
    HttpHeaders headers = new DefaultHttpHeaders().set(received.headers());
    removeHopByHop(headers, received.headers());
    headers.set(
        HttpProtocol.TIMEOUT_HEADER, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
    if (received.content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, received.content().readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        received.method(),
        received.uri(),
        received.content().retainedDuplicate(),
        headers,
        EmptyHttpHeaders.INSTANCE);
  }

  /**
   * Removes the {@link #HOP_BY_HOP} headers, and those that the received {@code Connection} headers
   * name.
   */
  private static void removeHopByHop(HttpHeaders headers, HttpHeaders received) {
    for (String connection : received.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : connection.split(",", 0)) {
        headers.remove(name.trim());
      }
    }
    for (AsciiString name : HOP_BY_HOP) {
      headers.remove(name);
    }
  }

  /** Creates a health check request. */
  static FullHttpRequest healthCheck() {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, HttpProtocol.HEALTH_PATH);
    request.headers().set(HttpHeaderNames.HOST, "upstream");
    return request;
  }
}
