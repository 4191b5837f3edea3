package loadbalancer.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.http.HttpProtocol;

/**
 * A router that selects by path, method and listener state the requests that the handler gets, and
 * replies to the others.
 */
final class RequestRouter {

  private final RequestHandler handler;
  private final RequestParser parser;
  private final ListenerState listenerState;

  RequestRouter(RequestHandler handler, RequestParser parser, ListenerState listenerState) {
    this.handler = handler;
    this.parser = parser;
    this.listenerState = listenerState;
  }

  /** Returns the earliest clock reading at which a request that is read now may have arrived. */
  long earliestArrivalNanos() {
    return parser.earliestArrivalNanos();
  }

  /** Returns the clock reading at which a request's timeout ends; a malformed one counts as 0. */
  long deadlineNanos(FullHttpRequest request, long arrivedAtNanos) {
    return parser.deadlineNanos(request, arrivedAtNanos);
  }

  /** Returns the current clock reading. */
  long nowNanos() {
    return parser.nowNanos();
  }

  /**
   * Routes a request whose turn has come, without retaining it.
   *
   * @param arrivedAtNanos clock reading of its earliest possible arrival, since which a pipelined
   *     request has waited for its turn
   * @param responseSink receives the response of the handler
   * @param clientPresence what the input that has been read tells of the client
   */
  RoutingResult route(
      FullHttpRequest request,
      long arrivedAtNanos,
      ResponseSink responseSink,
      ClientPresence clientPresence) {
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
    RoutingResult parsed = parser.parse(request, arrivedAtNanos, responseSink);
    if (parsed instanceof DownstreamRequest accepted) {
      return admit(accepted, clientPresence);
    }
    return parsed;
  }

  private LocalReply healthCheckReply() {
    return listenerState.isServing() && handler.isReady()
        ? new LocalReply(HttpResponseStatus.OK, "ok")
        : new LocalReply(HttpResponseStatus.SERVICE_UNAVAILABLE, "not serving");
  }

  private RoutingResult admit(DownstreamRequest request, ClientPresence clientPresence) {
    if (handler.mustNotRunAgain(request.traceId())) {
      // Two requests in flight with the same id, and their effects, could not be told apart.
      return new LocalReply(
          HttpResponseStatus.CONFLICT,
          HttpProtocol.TRACE_ID_HEADER + " is that of a request in flight or that may have run");
    }
    return switch (clientPresence) {
      case WAITING -> request;
      case GONE ->
          new LocalReply(HttpResponseStatus.SERVICE_UNAVAILABLE, "client has ended its sending");
      case UNKNOWN ->
          new LocalReply(
              HttpResponseStatus.TOO_MANY_REQUESTS, "too many requests on the connection");
    };
  }

  /** Returns whether a request is for a path, with or without a query. */
  private static boolean hasPath(FullHttpRequest request, String path) {
    String uri = request.uri();
    return uri.startsWith(path)
        && (uri.length() == path.length() || uri.charAt(path.length()) == '?');
  }
}
