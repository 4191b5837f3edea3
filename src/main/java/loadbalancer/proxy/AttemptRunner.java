package loadbalancer.proxy;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.ReferenceCountUtil;
import java.net.SocketAddress;
import java.util.Map;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.AttemptRefusal;
import loadbalancer.telemetry.RequestTrace;
import loadbalancer.upstream.ConnectionPool;
import loadbalancer.upstream.UpstreamCall;

/** Starts and cancels attempts, and reports how they ended. Confined to the event loop. */
final class AttemptRunner {

  private final MonotonicClock clock;
  private final int maxAttempts;
  private final LoadReportReader loadReports;
  private final EndpointDirectory directory;
  private final ConnectionPool pool;
  private final InFlightRequests requests;
  private final RequestCompleter completer;
  private final EventQueue events;
  private final AttemptGuard guard;
  private final RequestTrace trace;

  /**
   * Creates a runner without attempts.
   *
   * @param maxAttempts maximum number of attempts of one request, including the first; further ones
   *     end as not sent
   */
  AttemptRunner(
      MonotonicClock clock,
      int maxAttempts,
      LoadReportReader loadReports,
      EndpointDirectory directory,
      ConnectionPool pool,
      InFlightRequests requests,
      RequestCompleter completer,
      EventQueue events,
      AttemptGuard guard,
      RequestTrace trace) {
    this.clock = clock;
    this.maxAttempts = maxAttempts;
    this.loadReports = loadReports;
    this.directory = directory;
    this.pool = pool;
    this.requests = requests;
    this.completer = completer;
    this.events = events;
    this.guard = guard;
    this.trace = trace;
  }

  /**
   * Starts an attempt. Exactly one {@link AttemptEnded} event follows, unless the engine is
   * replaced before.
   */
  void start(ProxiedRequest request, StartAttempt action) {
    long now = clock.nowNanos();
    long endpointId = action.endpointId();
    ProxiedAttempt attempt = new ProxiedAttempt(request.attempts().size(), now);
    long remaining = request.deadlineNanos() - now;
    long timeout =
        action.timeoutNanos() == 0 ? remaining : Math.min(remaining, action.timeoutNanos());
    long attemptDeadline = now + timeout;
    // Computed before this attempt is added, as only the dedup windows of earlier attempts count.
    long writeDeadline = Math.min(attemptDeadline, request.dedupDeadlineNanos());
    UpstreamCall call =
        new UpstreamCall(
            endpointId,
            () -> mayWrite(request, attempt, writeDeadline),
            (status, response) -> attemptEnded(request, attempt, status, response));
    attempt.setCall(call);
    request.addAttempt(attempt);
    SocketAddress address = directory.address(endpointId);
    if (timeout <= 0 || attempt.index() >= maxAttempts) {
      call.complete(AttemptStatus.NOT_SENT, null);
    } else if (address == null) {
      call.complete(AttemptStatus.CONNECT_FAILED, null);
    } else {
      pool.start(
          call,
          address,
          () ->
              UpstreamRequestFactory.forward(
                  request.downstream().message(), attemptDeadline - clock.nowNanos()),
          timeout);
    }
  }

  /**
   * Returns whether an attempt may be written now. A request that may not be, because nobody knows
   * whether its client is still there, is rejected at once unless another attempt may serve it.
   */
  private boolean mayWrite(ProxiedRequest request, ProxiedAttempt attempt, long writeDeadline) {
    AttemptRefusal refusal = guard.check(request, attempt, writeDeadline);
    if (refusal == AttemptRefusal.CLIENT_UNREAD && !request.mayGetUpstreamResponse()) {
      completer.reject(request);
    }
    return refusal == null;
  }

  /** Cancels an attempt; a no-op if it has ended or its request is no longer in flight. */
  void cancel(String requestId, int attempt) {
    ProxiedRequest request = requests.find(requestId);
    if (request != null) {
      pool.cancel(request.attempts().get(attempt).call());
    }
  }

  /** Cancels all attempts of a request that have not ended. */
  void cancelAll(ProxiedRequest request) {
    for (ProxiedAttempt attempt : request.attempts()) {
      pool.cancel(attempt.call());
    }
  }

  private void attemptEnded(
      ProxiedRequest request,
      ProxiedAttempt attempt,
      AttemptStatus status,
      FullHttpResponse response) {
    attempt.recordEnd(status, clock.nowNanos());
    trace.attemptEnded(status);
    Map<String, Double> loadReport = loadReports.read(response);
    // The pool releases its reference when this method returns; the event is delivered later.
    FullHttpResponse retained = status == AttemptStatus.SUCCESS ? response.retain() : null;
    events.enqueue(new PendingAttemptEnd(request, attempt, retained, loadReport));
  }

  /** The queued end of an attempt. Holds a reference to the response, if there is one. */
  private final class PendingAttemptEnd implements EventQueue.PendingEvent {

    private final ProxiedRequest request;
    private final ProxiedAttempt attempt;
    private final FullHttpResponse response;
    private final Map<String, Double> loadReport;

    PendingAttemptEnd(
        ProxiedRequest request,
        ProxiedAttempt attempt,
        FullHttpResponse response,
        Map<String, Double> loadReport) {
      this.request = request;
      this.attempt = attempt;
      this.response = response;
      this.loadReport = loadReport;
    }

    @Override
    public Event resolve() {
      return deliverEnd(request, attempt, response, loadReport);
    }

    @Override
    public void discard() {
      ReferenceCountUtil.release(response);
    }
  }

  /**
   * Forwards the response to the client unless the request is completed, and returns the attempt's
   * end as an event for the engine. The request of a half-closed client is completed once no
   * attempt of it is in flight.
   *
   * @param response released here; null if there is none
   * @return null if the request is no longer in flight
   */
  private Event deliverEnd(
      ProxiedRequest request,
      ProxiedAttempt attempt,
      FullHttpResponse response,
      Map<String, Double> loadReport) {
    request.markAttemptEndDelivered();
    if (response != null) {
      if (!request.isCompleted()) {
        completer.respondOk(request, response);
      }
      response.release();
    }
    if (request.isClientHalfClosed() && !request.hasAttemptsInFlight() && !request.isCompleted()) {
      completer.respondUnserved(request);
    }
    if (!requests.contains(request)) {
      return null;
    }
    return new AttemptEnded(
        request.id(),
        attempt.index(),
        attempt.endpointId(),
        attempt.status(),
        attempt.latencyNanos(),
        request.isCompleted(),
        loadReport);
  }
}
