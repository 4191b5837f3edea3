package loadbalancer.proxy;

import loadbalancer.downstream.DownstreamRequest;
import loadbalancer.downstream.RequestHandler;
import loadbalancer.gossip.GossipReceiver;
import loadbalancer.gossip.GossipSender;
import loadbalancer.discovery.EndpointSource;
import loadbalancer.http.HttpProtocol;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.Supplier;
import java.util.logging.Level;
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
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.GossipReceived;
import loadbalancer.decision.api.Event.HealthCheckResult;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Event.TimerFired;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.net.MonotonicClock;
import loadbalancer.proxy.ProxiedRequest.Attempt;
import loadbalancer.telemetry.RequestTrace;
import loadbalancer.upstream.ConnectionPool;
import loadbalancer.upstream.LoadReport;
import loadbalancer.upstream.UpstreamCall;

/**
 * Stands between the sockets and the decision module: words what happens on the first as the second's events, one at a
 * time, and carries out its actions in order. It decides nothing. All of it runs on one event loop.
 */
final class RequestDispatcher implements RequestHandler, GossipReceiver {

  private static final Logger LOG = Logger.getLogger(RequestDispatcher.class.getName());

  /** A request without an answer gets one so long after the deadline that the module knows: a last guard. */
  private static final long GUARD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
  /** A probe is given up after this. */
  private static final long PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final Settings settings;
  private final boolean loadReports;
  private final LongFunction<DecisionEngine> modules;
  private final EndpointDirectory fleet;
  private final ConnectionPool pool;
  private final EndpointSource lists;
  private final GossipSender peers;
  private final RequestTrace trail;
  private final Map<String, ProxiedRequest> exchanges = new HashMap<>();
  /** The clients' ids of the same. */
  private final Map<String, ProxiedRequest> byTraceId = new HashMap<>();
  /** What has happened and the module has not been told; an entry is worded when its turn comes. */
  private final ArrayDeque<Supplier<Event>> queue = new ArrayDeque<>();
  private boolean scheduled;
  private boolean ended;
  private DecisionEngine module;
  private long generation;
  private long taken;

  /** {@code modules} makes the n-th module of this process. */
  RequestDispatcher(EventLoop loop, MonotonicClock clock, Settings settings, boolean loadReports, LongFunction<DecisionEngine> modules, EndpointDirectory fleet,
      ConnectionPool pool, EndpointSource lists, GossipSender peers) {
    this.loop = loop;
    this.clock = clock;
    this.settings = settings;
    this.loadReports = loadReports;
    this.modules = modules;
    this.fleet = fleet;
    this.pool = pool;
    this.lists = lists;
    this.peers = peers;
    trail = new RequestTrace(fleet::name);
    module = modules.apply(generation);
  }

  // ---- What happens --------------------------------------------------------------------------------------

  /** A client's request has come in whole. */
  @Override
  public void accept(DownstreamRequest request) {
    ProxiedRequest x = new ProxiedRequest(request);
    x.id = "r" + taken++;
    x.acceptedAtNanos = clock.nowNanos();
    if (ended) {
      refuse(x);
      return;
    }
    exchanges.put(x.id, x);
    byTraceId.put(x.traceId(), x);
    x.guard = loop.schedule(() -> overdue(x), x.deadlineNanos() + GUARD_NANOS - clock.nowNanos(), TimeUnit.NANOSECONDS);
    enqueue(() -> x.isEnded() ? null
        : new RequestArrived(x.id, request.requestClass().name(), request.tenant(), request.affinityKey(), request.deadlineNanos(),
            request.workHintNanos(), request.retry()));
  }

  /** Whether a request with this id of a client's is in hand, or an attempt of it is still out. */
  @Override
  public boolean isInFlight(String traceId) {
    return byTraceId.containsKey(traceId);
  }

  /** The client has closed its connection. */
  @Override
  public void clientDisconnected(String traceId) {
    clientDisconnected(byTraceId.get(traceId));
  }

  private void clientDisconnected(ProxiedRequest x) {
    x.abandon();
    enqueue(() -> known(x) ? new ClientDisconnected(x.id) : null);
  }

  /**
   * The client has ended its sending, and most likely gone: from here on nothing is started for it. What waits for an upstream, a
   * connection or a retry ends at once; what is out may still bring the answer, in case that it listens.
   */
  @Override
  public void clientHalfClosed(String traceId) {
    ProxiedRequest x = byTraceId.get(traceId);
    if (x.isEnded() || x.clientHalfClosed) {
      return;
    }
    x.clientHalfClosed = true;
    if (!x.isSent()) {
      refuse(x);
      enqueue(() -> known(x) ? new ClientDisconnected(x.id) : null);
      x.attempts().forEach(a -> pool.cancel(a.call));
    }
  }

  /** Of one that has not run the client is told so. */
  private void refuse(ProxiedRequest x) {
    answer(x, x.mayHaveRun() ? HttpResponseStatus.INTERNAL_SERVER_ERROR : HttpResponseStatus.SERVICE_UNAVAILABLE, 0, null,
        Unpooled.EMPTY_BUFFER);
  }

  private void overdue(ProxiedRequest x) {
    if (!x.isEnded()) {
      answer(x, HttpResponseStatus.GATEWAY_TIMEOUT, 0, null, Unpooled.EMPTY_BUFFER);
      clientDisconnected(x);
    }
  }

  /** Discovery has said something; with FAILED it has not, and the list is unused. */
  void news(UpdateKind kind, EndpointList list) {
    if (kind == UpdateKind.FAILED) {
      enqueue(() -> new EndpointListUpdate(kind, List.of()));
      return;
    }
    EndpointListUpdate news = fleet.apply(kind, list);
    enqueue(() -> news);
    // After the news, so that the module knows why what was still connecting comes back unsent.
    pool.withdraw(upstream -> !fleet.isReady(upstream));
    // What was open to the process before leads nowhere; a machine that vanished has not even closed it.
    fleet.restartedEndpoints().forEach(pool::closeIdle);
  }

  /** Another balancer has sent a message. */
  @Override
  public void receive(int from, byte[] data) {
    enqueue(() -> new GossipReceived(from, data));
  }

  /** Whether a request that came now could be served. */
  @Override
  public boolean canServe() {
    return fleet.hasReady();
  }

  /** Requests that have no answer, or of which an attempt is out. */
  int inHand() {
    return exchanges.size();
  }

  /** The process is about to end: all requests in hand are answered, and what still comes is refused at once. */
  void end() {
    ended = true;
    failAll();
  }

  /** Answers all requests in hand, without a promise. */
  private void failAll() {
    for (ProxiedRequest x : List.copyOf(exchanges.values())) {
      if (!x.isEnded()) {
        answer(x, HttpResponseStatus.INTERNAL_SERVER_ERROR, 0, null, Unpooled.EMPTY_BUFFER);
        clientDisconnected(x);
      }
    }
  }

  /**
   * Events are told only once all sockets that had something to say have been read: actions then don't go to a
   * connection whose end is known already, and an action never re-enters the module.
   */
  private void enqueue(Supplier<Event> event) {
    queue.add(event);
    if (!scheduled) {
      scheduled = true;
      loop.execute(this::tell);
    }
  }

  private void tell() {
    scheduled = false;
    for (Supplier<Event> next = queue.poll(); next != null; next = queue.poll()) {
      Event event = next.get();
      if (event == null) {
        continue;
      }
      try {
        module.handle(clock.nowNanos(), event, this::perform);
      } catch (RuntimeException e) {
        LOG.log(Level.SEVERE, "module failed at " + event.getClass().getSimpleName(), e);
        restart(event);
      }
      if (event instanceof AttemptEnded o) {
        forget(exchanges.get(o.requestId()));
      } else if (event instanceof ClientDisconnected g) {
        forget(exchanges.get(g.requestId()));
      }
    }
  }

  /** A module that threw is in an unknown state: what it held is answered, and a new one starts from the list. */
  private void restart(Event cause) {
    if (cause instanceof EndpointListUpdate news && news.kind() == UpdateKind.CACHED) {
      LOG.severe("a module can't even start: the process ends");
      failAll();
      loop.execute(() -> Runtime.getRuntime().halt(1));
      return;
    }
    for (ProxiedRequest x : List.copyOf(exchanges.values())) {
      x.attempts().forEach(a -> pool.cancel(a.call));
    }
    failAll();
    exchanges.clear();
    byTraceId.clear();
    queue.clear();
    module = modules.apply(++generation);
    EndpointListUpdate held = fleet.snapshot();
    enqueue(() -> held);
  }

  private boolean known(ProxiedRequest x) {
    return exchanges.get(x.id) == x;
  }

  private void forget(ProxiedRequest x) {
    if (x != null && x.isEnded() && x.attemptsInFlight == 0) {
      exchanges.remove(x.id);
      byTraceId.remove(x.traceId());
    }
  }

  // ---- What the module asks for --------------------------------------------------------------------------

  private void perform(Action action) {
    if (action instanceof StartAttempt a) {
      send(exchange(a.requestId()), a);
    } else if (action instanceof CancelAttempt a) {
      ProxiedRequest x = exchanges.get(a.requestId());
      if (x != null) {
        pool.cancel(x.attempts().get(a.attempt()).call);
      }
    } else if (action instanceof RejectRequest a) {
      end(a.requestId(), HttpResponseStatus.TOO_MANY_REQUESTS, a.retryAfterNanos());
    } else if (action instanceof FailRequest a) {
      end(a.requestId(), HttpResponseStatus.BAD_GATEWAY, 0);
    } else if (action instanceof SetTimer a) {
      long made = generation;
      loop.schedule(() -> {
        trail.timerFired(clock.nowNanos() - a.atNanos());
        enqueue(() -> made == generation ? new TimerFired(a.token()) : null);
      }, a.atNanos() - clock.nowNanos(), TimeUnit.NANOSECONDS);
    } else if (action instanceof WatchEndpoints a) {
      lists.watch(a.enabled());
    } else if (action instanceof FetchEndpoints) {
      lists.fetch();
    } else if (action instanceof CheckHealth a) {
      probe(a.endpointId());
    } else if (action instanceof CloseIdleConnections a) {
      pool.closeIdle(a.endpointId());
    } else if (action instanceof SendGossip a) {
      peers.send(a.to(), a.data());
    } else if (action instanceof LogMessage a) {
      LOG.info(a.text());
    }
  }

  private ProxiedRequest exchange(String id) {
    ProxiedRequest x = exchanges.get(id);
    if (x == null) {
      throw new IllegalStateException("request " + id + " is over");
    }
    return x;
  }

  private void end(String id, HttpResponseStatus status, long retryAfterNanos) {
    ProxiedRequest x = exchanges.get(id);
    if (x != null && !x.isEnded()) {
      answer(x, status, retryAfterNanos, null, Unpooled.EMPTY_BUFFER);
    }
    forget(x);
  }

  private void answer(ProxiedRequest x, HttpResponseStatus status, long retryAfterNanos, CharSequence type, ByteBuf content) {
    x.answer(status, retryAfterNanos, type, content);
    trail.responded(x, status, clock.nowNanos());
  }

  private void send(ProxiedRequest x, StartAttempt send) {
    long now = clock.nowNanos();
    Attempt attempt = new Attempt(x.attempts().size(), now);
    long repeatBy = x.repeatBy();
    attempt.call = new UpstreamCall(send.endpointId(), () -> isWanted(x, send.endpointId(), repeatBy),
        (status, answer) -> attemptEnded(x, attempt, status, answer));
    x.attempts().add(attempt);
    x.attemptsInFlight++;
    long left = x.deadlineNanos() - now;
    long timeout = send.timeoutNanos() == 0 ? left : Math.min(left, send.timeoutNanos());
    SocketAddress address = fleet.address(send.endpointId());
    if (timeout <= 0 || attempt.number >= settings.limits().maxAttempts()) {
      attempt.call.complete(AttemptStatus.NOT_SENT, null);
    } else if (address == null) {
      attempt.call.complete(AttemptStatus.CONNECT_FAILED, null);
    } else {
      pool.start(attempt.call, address, x.forward(timeout), timeout);
    }
  }

  /**
   * Whether an attempt may still start. Guards against a connection that comes up late, and against a decision made before the
   * news that is told next: by then the upstream may drain, the request be over or past its repeats, or its client gone.
   */
  private boolean isWanted(ProxiedRequest x, long upstream, long repeatBy) {
    return x.isAwaited() && fleet.isReady(upstream) && clock.nowNanos() < repeatBy;
  }

  private void attemptEnded(ProxiedRequest x, Attempt attempt, AttemptStatus status, FullHttpResponse answer) {
    long latency = clock.nowNanos() - attempt.startedAtNanos;
    attempt.status = status;
    attempt.latencyNanos = latency;
    trail.attemptEnded(status);
    Map<String, Double> load = loadReports && answer != null ? LoadReport.parse(answer.headers()).metrics() : Map.of();
    FullHttpResponse served = status == AttemptStatus.SUCCESS ? answer.retain() : null;
    enqueue(() -> {
      x.attemptsInFlight--;
      if (served != null) {
        if (!x.isEnded()) {
          answer(x, HttpResponseStatus.OK, 0, served.headers().get(HttpHeaderNames.CONTENT_TYPE), served.content());
        }
        served.release();
      }
      if (x.clientHalfClosed && x.attemptsInFlight == 0 && !x.isEnded()) {
        refuse(x);
      }
      return known(x)
          ? new AttemptEnded(x.id, attempt.number, attempt.call.endpointId(), status, latency, x.isEnded(), load) : null;
    });
  }

  private void probe(long upstream) {
    long sentAt = clock.nowNanos();
    UpstreamCall call = new UpstreamCall(upstream, () -> true, (status, answer) -> {
      long latency = clock.nowNanos() - sentAt;
      Map<String, Double> load = loadReports && answer != null ? LoadReport.parse(answer.headers()).metrics() : Map.of();
      enqueue(() -> new HealthCheckResult(upstream, status, latency, load));
    });
    SocketAddress address = fleet.address(upstream);
    if (address == null) {
      call.complete(AttemptStatus.CONNECT_FAILED, null);
      return;
    }
    FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, HttpProtocol.HEALTH_PATH);
    request.headers().set(HttpHeaderNames.HOST, "upstream");
    pool.start(call, address, request, PROBE_NANOS);
  }
}
