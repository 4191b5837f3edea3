package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.RequestTrace;

/**
 * Completes requests: with their one final response, or without one because the client has
 * disconnected. Confined to the event loop.
 */
final class RequestCompleter {

  private final MonotonicClock clock;
  private final InFlightRequests requests;
  private final EventQueue events;
  private final RequestTrace trace;

  RequestCompleter(
      MonotonicClock clock, InFlightRequests requests, EventQueue events, RequestTrace trace) {
    this.clock = clock;
    this.requests = requests;
    this.events = events;
    this.trace = trace;
  }

  /**
   * Gives a request that is not completed its final response, without content.
   *
   * @param retryAfterNanos the wait to advise before a retry; 0 for no advice
   */
  void respond(ProxiedRequest request, HttpResponseStatus status, long retryAfterNanos) {
    respond(request, status, retryAfterNanos, null, Unpooled.EMPTY_BUFFER);
  }

  /** Passes on an upstream's response, which stays the caller's to release. */
  void respondOk(ProxiedRequest request, FullHttpResponse response) {
    CharSequence contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
    respond(request, HttpResponseStatus.OK, 0, contentType, response.content());
  }

  /**
   * Responds that no response will come of the request: with 503 where it has certainly not run,
   * else with 500.
   */
  void respondUnserved(ProxiedRequest request) {
    boolean mayHaveRun = request.mayHaveRun();
    respond(
        request,
        mayHaveRun
            ? HttpResponseStatus.INTERNAL_SERVER_ERROR
            : HttpResponseStatus.SERVICE_UNAVAILABLE,
        0);
  }

  /** Gives a request this final response, unless it is completed, and has the engine forget it. */
  void fail(ProxiedRequest request, HttpResponseStatus status) {
    if (!request.isCompleted()) {
      respond(request, status, 0);
      clientDisconnected(request);
    }
  }

  /** Gives every request in flight without a response its final one. */
  void failAll() {
    for (ProxiedRequest request : requests.all()) {
      fail(request, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }
  }

  /**
   * Completes a request without a response, unless it is completed, and tells the engine that none
   * is owed.
   */
  void clientDisconnected(ProxiedRequest request) {
    request.complete();
    events.enqueue(() -> requests.contains(request) ? new ClientDisconnected(request.id()) : null);
  }

  private void respond(
      ProxiedRequest request,
      HttpResponseStatus status,
      long retryAfterNanos,
      CharSequence contentType,
      ByteBuf content) {
    request.respond(status, retryAfterNanos, contentType, content);
    trace.responded(request, status, clock.nowNanos());
  }
}
