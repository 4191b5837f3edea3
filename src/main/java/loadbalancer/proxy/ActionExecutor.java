package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Logger;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.CheckHealth;
import loadbalancer.decision.api.Action.CloseIdleConnections;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.FetchEndpoints;
import loadbalancer.decision.api.Action.LogMessage;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.SendGossip;
import loadbalancer.decision.api.Action.SetTimer;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.Event.TimerFired;
import loadbalancer.discovery.EndpointSource;
import loadbalancer.gossip.GossipSender;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.LogValues;
import loadbalancer.telemetry.RequestTrace;
import loadbalancer.upstream.ConnectionPool;

/**
 * Carries out the decision engine's actions immediately and in order. Confined to the event loop.
 */
final class ActionExecutor implements Consumer<Action> {

  private static final Logger LOG = Logger.getLogger(ActionExecutor.class.getName());

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final InFlightRequests requests;
  private final RequestCompleter completer;
  private final AttemptRunner attempts;
  private final HealthChecker healthChecker;
  private final ConnectionPool pool;
  private final EndpointSource endpoints;
  private final GossipSender gossip;
  private final EventQueue events;
  private final AttemptGuard guard;
  private final RequestTrace trace;

  ActionExecutor(
      EventLoop loop,
      MonotonicClock clock,
      InFlightRequests requests,
      RequestCompleter completer,
      AttemptRunner attempts,
      HealthChecker healthChecker,
      ConnectionPool pool,
      EndpointSource endpoints,
      GossipSender gossip,
      EventQueue events,
      AttemptGuard guard,
      RequestTrace trace) {
    this.loop = loop;
    this.clock = clock;
    this.requests = requests;
    this.completer = completer;
    this.attempts = attempts;
    this.healthChecker = healthChecker;
    this.pool = pool;
    this.endpoints = endpoints;
    this.gossip = gossip;
    this.events = events;
    this.guard = guard;
    this.trace = trace;
  }

  /**
   * Carries out an action.
   *
   * @throws IllegalStateException if the action starts an attempt of a request that is not in
   *     flight
   */
  @Override
  public void accept(Action action) {
    if (action instanceof StartAttempt start) {
      attempts.start(requireInFlight(start.requestId()), start);
    } else if (action instanceof CancelAttempt cancel) {
      attempts.cancel(cancel.requestId(), cancel.attempt());
    } else if (action instanceof RejectRequest reject) {
      reject(reject);
    } else if (action instanceof FailRequest fail) {
      respond(fail.requestId(), HttpResponseStatus.BAD_GATEWAY, 0);
    } else if (action instanceof SetTimer timer) {
      setTimer(timer);
    } else if (action instanceof WatchEndpoints watch) {
      endpoints.watch(watch.enabled());
    } else if (action instanceof FetchEndpoints) {
      endpoints.fetch();
    } else if (action instanceof CheckHealth check) {
      healthChecker.check(check.endpointId());
    } else if (action instanceof CloseIdleConnections close) {
      pool.closeIdle(close.endpointId());
    } else if (action instanceof SendGossip message) {
      gossip.send(message.to(), message.data());
    } else if (action instanceof LogMessage message) {
      LOG.info("engine_message text=" + LogValues.quote(message.text()));
    }
  }

  private ProxiedRequest requireInFlight(String requestId) {
    ProxiedRequest request = requests.find(requestId);
    if (request == null) {
      throw new IllegalStateException(
          "engine started an attempt of request " + requestId + ", which is not in flight");
    }
    return request;
  }

  /**
   * Rejects a request with 429, or fails it with 500 if a repeat by the client could run it twice.
   */
  private void reject(RejectRequest reject) {
    ProxiedRequest request = requests.find(reject.requestId());
    if (request != null && !request.isCompleted() && !guard.canReject(request)) {
      respond(reject.requestId(), HttpResponseStatus.INTERNAL_SERVER_ERROR, 0);
    } else {
      respond(reject.requestId(), HttpResponseStatus.TOO_MANY_REQUESTS, reject.retryAfterNanos());
    }
  }

  /**
   * Sends the final response of a request unless it is completed, and removes the request once no
   * attempt is in flight.
   */
  private void respond(String requestId, HttpResponseStatus status, long retryAfterNanos) {
    ProxiedRequest request = requests.find(requestId);
    if (request != null && !request.isCompleted()) {
      completer.respond(request, status, retryAfterNanos);
    }
    requests.removeIfFinished(requestId);
  }

  /** Schedules a timer. It is dropped when it fires if the engine that set it has been replaced. */
  private void setTimer(SetTimer timer) {
    long generation = events.engineGeneration();
    loop.schedule(
        () -> {
          trace.timerFired(clock.nowNanos() - timer.atNanos());
          events.enqueue(
              () -> generation == events.engineGeneration() ? new TimerFired(timer.token()) : null);
        },
        timer.atNanos() - clock.nowNanos(),
        TimeUnit.NANOSECONDS);
  }
}
