package loadbalancer.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.http.HttpProtocol;

/** Decides by path, method and state which requests the handler gets; replies to the others. */
final class RequestRouter {

  private final RequestHandler handler;
  private final RequestParser parser;
  private final ListenerState listenerState;

  RequestRouter(RequestHandler handler, RequestParser parser, ListenerState listenerState) {
    this.handler = handler;
    this.parser = parser;
    this.listenerState = listenerState;
  }

  /** Clock reading at which a request that is read now arrived at the latest. */
  long earliestArrivalNanos() {
    return parser.earliestArrivalNanos();
  }

  /** Clock reading at which a request's time is over, if it is well-formed. */
  long deadlineNanos(FullHttpRequest request, long arrivedAtNanos) {
    return parser.deadlineNanos(request, arrivedAtNanos);
  }

  /** The present clock reading. */
  long nowNanos() {
    return parser.nowNanos();
  }

  /**
   * Routes a request in its turn, without retaining it.
   *
   * @param arrivedAtNanos its {@link #earliestArrivalNanos}: pipelined ones have waited for their
   *     turn
   * @param response where the handler is to respond to it
   * @param clientHalfClosed whether its client has ended its sending
   */
  RoutingResult route(
      FullHttpRequest request,
      long arrivedAtNanos,
      ResponseSink response,
      boolean clientHalfClosed) {
    if (!request.decoderResult().isSuccess()) {
      return LocalReply.forDecodingFailure(request.decoderResult().cause());
    }
    if (hasPath(request, HttpProtocol.HEALTH_PATH)) {
      return healthCheckReply();
    }
    if (!hasPath(request, HttpProtocol.API_PATH)) {
      return new LocalReply(HttpResponseStatus.NOT_FOUND, "no such path");
    }
    HttpMethod method = request.method();
    if (!method.equals(HttpMethod.GET) && !method.equals(HttpMethod.POST)) {
      return new LocalReply(HttpResponseStatus.METHOD_NOT_ALLOWED, "GET and POST only");
    }
    RoutingResult parsed = parser.parse(request, arrivedAtNanos, response);
    if (parsed instanceof DownstreamRequest accepted) {
      return admit(accepted, clientHalfClosed);
    }
    return parsed;
  }

  private LocalReply healthCheckReply() {
    return listenerState.isServing() && handler.canServe()
        ? new LocalReply(HttpResponseStatus.OK, "ok")
        : new LocalReply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not serving");
  }

  private RoutingResult admit(DownstreamRequest request, boolean clientHalfClosed) {
    if (handler.isInFlight(request.traceId())) {
      // Accepting it would confuse it, and its effect, with the request that has this id.
      return new LocalReply(
          HttpResponseStatus.CONFLICT,
          HttpProtocol.TRACE_ID_HEADER + " is that of a request in flight");
    }
    if (clientHalfClosed) {
      return new LocalReply(HttpResponseStatus.SERVICE_UNAVAILABLE, "client has ended its sending");
    }
    return request;
  }

  /** Whether a request is for a path, with or without a query. */
  private static boolean hasPath(FullHttpRequest request, String path) {
    String uri = request.uri();
    return uri.startsWith(path)
        && (uri.length() == path.length() || uri.charAt(path.length()) == '?');
  }
}
