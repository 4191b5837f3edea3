package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.GossipReceived;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.downstream.DownstreamRequest;
import loadbalancer.downstream.RequestHandler;
import loadbalancer.gossip.GossipReceiver;
import loadbalancer.net.MonotonicClock;
import loadbalancer.upstream.ConnectionPool;

/**
 * Accepts requests, and turns changes of requests, clients and the endpoint list into events for
 * the decision engine. Makes no decisions itself. Confined to the event loop.
 */
final class RequestDispatcher implements RequestHandler, GossipReceiver {

  /**
   * Time after the deadline given to the engine at which a request without a response gets one, as
   * a safeguard against an engine that loses a request.
   */
  private static final long EXPIRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final EndpointDirectory directory;
  private final ConnectionPool pool;
  private final InFlightRequests requests;
  private final RequestCompleter completer;
  private final AttemptRunner attempts;
  private final EventQueue events;
  private final Readiness readiness;
  private long acceptedCount;
  private boolean isExpired;

  RequestDispatcher(
      EventLoop loop,
      MonotonicClock clock,
      EndpointDirectory directory,
      ConnectionPool pool,
      InFlightRequests requests,
      RequestCompleter completer,
      AttemptRunner attempts,
      EventQueue events) {
    this.loop = loop;
    this.clock = clock;
    this.directory = directory;
    this.pool = pool;
    this.requests = requests;
    this.completer = completer;
    this.attempts = attempts;
    this.events = events;
    readiness = new Readiness(clock, directory);
  }

  @Override
  public void accept(DownstreamRequest downstream) {
    ProxiedRequest request =
        new ProxiedRequest(downstream, "r" + acceptedCount++, clock.nowNanos());
    if (isExpired) {
      completer.respondUnserved(request);
      return;
    }
    requests.add(request);
    request.setExpiryTimer(
        loop.schedule(
            () -> completer.fail(request, HttpResponseStatus.GATEWAY_TIMEOUT),
            request.deadlineNanos() + EXPIRY_DELAY_NANOS - clock.nowNanos(),
            TimeUnit.NANOSECONDS));
    events.enqueue(() -> request.isCompleted() ? null : request.arrivalEvent());
  }

  @Override
  public boolean mustNotRunAgain(String traceId) {
    return requests.mustNotRunAgain(traceId);
  }

  @Override
  public void clientDisconnected(String traceId) {
    completer.abandon(requests.findByTraceId(traceId));
  }

  /**
   * Handles a client that has closed its sending side and has most likely gone: no further attempt
   * is written for it. A request that waits for the engine, a connection or a retry is completed at
   * once; one that has been written may still get its response, in case the client still reads.
   */
  @Override
  public void clientHalfClosed(String traceId) {
    ProxiedRequest request = requests.findByTraceId(traceId);
    if (request.isCompleted() || request.isClientHalfClosed()) {
      return;
    }
    request.markClientHalfClosed();
    if (!request.mayGetUpstreamResponse()) {
      completeUnserved(request);
    }
  }

  @Override
  public void abort(String traceId) {
    ProxiedRequest request = requests.findByTraceId(traceId);
    if (request != null && !request.isCompleted()) {
      completeUnserved(request);
    }
  }

  private void completeUnserved(ProxiedRequest request) {
    completer.respondUnserved(request);
    completer.completeAndNotifyEngine(request);
    attempts.cancelAll(request);
  }

  /**
   * Handles an update or a failure of discovery.
   *
   * @param list ignored if the kind is {@link UpdateKind#FAILED}
   */
  void endpointsUpdated(UpdateKind kind, EndpointList list) {
    if (kind == UpdateKind.FAILED) {
      events.enqueue(() -> new EndpointListUpdate(kind, List.of()));
      return;
    }
    if (kind != UpdateKind.CACHED) {
      readiness.discoveryHeard();
    }
    EndpointListUpdate update = directory.apply(kind, list);
    events.enqueue(() -> update);
    // The update event is queued first, so that the engine knows why attempts that were connecting
    // end without having been sent.
    pool.withdraw(endpointId -> !directory.isReady(endpointId));
    // Idle connections to the previous process are unusable; if its machine has failed, they have
    // not even been closed.
    for (long endpointId : directory.restartedEndpoints()) {
      pool.closeIdle(endpointId);
    }
  }

  @Override
  public void receive(int from, byte[] data) {
    events.enqueue(() -> new GossipReceived(from, data));
  }

  @Override
  public boolean isReady() {
    return readiness.isReady();
  }

  /** Returns the number of requests without a final response or with an attempt in flight. */
  int inFlightCount() {
    return requests.size();
  }

  /**
   * Completes all requests in flight, and from then on each new one immediately, because the
   * process is about to end.
   */
  void expireAll() {
    isExpired = true;
    completer.failAll();
  }
}
