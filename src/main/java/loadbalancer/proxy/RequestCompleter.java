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
 * Completes requests, either with their single final response or without one because the client has
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
   * Sends the final response, without content, of a request that is not completed.
   *
   * @param retryAfterNanos the delay before a retry to recommend to the client; 0 for none
   */
  void respond(ProxiedRequest request, HttpResponseStatus status, long retryAfterNanos) {
    respond(request, status, retryAfterNanos, null, Unpooled.EMPTY_BUFFER);
  }

  /** Forwards an upstream's response, which the caller still has to release. */
  void respondOk(ProxiedRequest request, FullHttpResponse response) {
    CharSequence contentType = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
    respond(request, HttpResponseStatus.OK, 0, contentType, response.content());
  }

  /**
   * Responds that the request cannot be served: with 503 if it has certainly not run, otherwise
   * with 500.
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

  /**
   * Completes a request with this status and notifies the engine that it needs no response any
   * more; a no-op if it is completed.
   */
  void fail(ProxiedRequest request, HttpResponseStatus status) {
    if (!request.isCompleted()) {
      respond(request, status, 0);
      completeAndNotifyEngine(request);
    }
  }

  /**
   * Completes a request that is not completed with a rejection, or with status 500 if a repeat by
   * the client could run it twice. Notifies the engine that it needs no response any more.
   */
  void reject(ProxiedRequest request) {
    fail(
        request,
        AttemptGuard.isSafeToReject(request)
            ? HttpResponseStatus.TOO_MANY_REQUESTS
            : HttpResponseStatus.INTERNAL_SERVER_ERROR);
  }

  /** Completes, with status 500, all requests in flight that are not completed yet. */
  void failAll() {
    for (ProxiedRequest request : requests.all()) {
      fail(request, HttpResponseStatus.INTERNAL_SERVER_ERROR);
    }
  }

  /** Completes a request whose client has left before the final response. */
  void abandon(ProxiedRequest request) {
    if (!request.isCompleted()) {
      request.markAbandoned();
      trace.abandoned(request, clock.nowNanos());
    }
    completeAndNotifyEngine(request);
  }

  /**
   * Completes a request without a response, unless it is completed already, and notifies the engine
   * that it needs no response any more.
   */
  void completeAndNotifyEngine(ProxiedRequest request) {
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
