package loadbalancer.discovery;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;

/**
 * The request of a call to discovery.
 *
 * @param address the address of discovery
 * @param uri the path and the query
 * @param isWatch whether the response stays open for changes, or ends with the list
 */
record DiscoveryRequest(InetSocketAddress address, String uri, boolean isWatch) {

  private static final String LIST_PATH = "/v1/servers";

  /** Returns a request for the complete list. */
  static DiscoveryRequest fetch(InetSocketAddress address) {
    return new DiscoveryRequest(address, LIST_PATH, false);
  }

  /** Returns a request for the list, if it is newer than a revision, and for all later changes. */
  static DiscoveryRequest watch(InetSocketAddress address, long sinceRevision) {
    return new DiscoveryRequest(address, LIST_PATH + "?follow=1&since=" + sinceRevision, true);
  }

  /** Returns the HTTP message of the request. */
  HttpRequest toHttp() {
    HttpRequest message = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
    String host = address.getAddress().getHostAddress() + ":" + address.getPort();
    message.headers().set(HttpHeaderNames.HOST, host);
    return message;
  }
}
