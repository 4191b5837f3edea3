package loadbalancer.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.SetTimer;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Event.TimerFired;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.Limits;
import loadbalancer.decision.api.Prices;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.ServiceContract;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.Tenant;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.decision.api.WeightKind;

/** Drives one engine step by step: its clock, its timers, and its attempts in flight. */
final class EngineDriver {

  /** A millisecond in nanoseconds. */
  static final long MS = 1_000_000L;

  final LoadBalancingEngine engine;
  final List<SetTimer> timers = new ArrayList<>();
  final List<InFlightAttempt> inFlight = new ArrayList<>();

  /** The number of rejections by the first letter of the request id. */
  final Map<String, Integer> rejections = new HashMap<>();

  long now = 1_000_000_000_000L;
  private final Map<String, Integer> attempts = new HashMap<>();
  private int requestCount;

  /** An attempt that has not ended yet. */
  record InFlightAttempt(String requestId, int attempt, long endpointId, long startedAt) {}

  EngineDriver(Settings settings) {
    this(settings, 7);
  }

  EngineDriver(Settings settings, long seed) {
    engine = new LoadBalancingEngine(settings, seed);
  }

  /** Returns a class with a latency objective of 400 ms and a deadline and dedup window of 2 s. */
  static RequestClass requestClass(String name, Idempotence idempotence, DedupScope scope) {
    return new RequestClass(
        name, idempotence, scope, 2000 * MS, 400 * MS, 0, 2000 * MS, 1, 0, false);
  }

  static Settings settings(boolean polledDiscovery, List<Tenant> tenants, RequestClass... classes) {
    return new Settings(
        0,
        1,
        "a",
        List.of(classes),
        tenants,
        new Limits(true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS),
        new ServiceContract(
            8 * MS, polledDiscovery ? 10_000 * MS : 0, 250 * MS, 0.3, 8000 * MS, 3, 3000 * MS),
        new Prices(0, 0, 0),
        polledDiscovery,
        WeightKind.NONE,
        0.2,
        true,
        MS);
  }

  /** Returns settings with one class, "c", of idempotent requests, and no tenants. */
  static Settings idempotentSettings() {
    return settings(false, List.of(), requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL));
  }

  static Endpoint readyEndpoint(long id) {
    return new Endpoint(id, "a", 0, EndpointState.READY, 0, 1);
  }

  List<Action> handle(Event event) {
    List<Action> actions = new ArrayList<>();
    engine.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer timer) {
        timers.add(timer);
      } else if (action instanceof RejectRequest rejection) {
        rejections.merge(rejection.requestId().substring(0, 1), 1, Integer::sum);
      } else if (action instanceof StartAttempt start) {
        String id = start.requestId();
        int attempt = attempts.merge(id, 1, Integer::sum) - 1;
        inFlight.add(new InFlightAttempt(id, attempt, start.endpointId(), now));
      }
    }
    return actions;
  }

  List<Action> updateEndpoints(UpdateKind kind, Endpoint... entries) {
    return handle(new EndpointListUpdate(kind, List.of(entries)));
  }

  /** Starts with the given number of ready endpoints, whose ids count up from 100. */
  EngineDriver withEndpoints(int count) {
    Endpoint[] entries = new Endpoint[count];
    for (int i = 0; i < count; i++) {
      entries[i] = readyEndpoint(100 + i);
    }
    updateEndpoints(UpdateKind.CACHED, entries);
    return this;
  }

  String nextRequestId() {
    return "r" + requestCount++;
  }

  List<Action> request(String id, String className, String key) {
    return request(id, className, null, key, 0);
  }

  List<Action> request(String id, String className, String tenant, String key, long hint) {
    return handle(new RequestArrived(id, className, tenant, key, now + 2000 * MS, hint, false));
  }

  /** Ends the attempt of a request at an endpoint. */
  List<Action> endAttempt(String id, long endpoint, AttemptStatus status, long latencyNanos) {
    InFlightAttempt ended =
        inFlight.stream()
            .filter(a -> a.requestId().equals(id) && a.endpointId() == endpoint)
            .findFirst()
            .get();
    return endAttempt(ended, status, latencyNanos);
  }

  List<Action> endAttempt(InFlightAttempt ended, AttemptStatus status, long latencyNanos) {
    inFlight.remove(ended);
    return handle(
        new AttemptEnded(
            ended.requestId(),
            ended.attempt(),
            ended.endpointId(),
            status,
            latencyNanos,
            status == AttemptStatus.SUCCESS,
            Map.of()));
  }

  /** Advances the clock and ends every attempt once it has taken the latency. */
  void advanceEndingAttempts(long nanos, AttemptStatus status, long latencyNanos) {
    for (long end = now + nanos; now < end; ) {
      advance(Math.min(5 * MS, end - now));
      for (InFlightAttempt attempt : List.copyOf(inFlight)) {
        if (now - attempt.startedAt() >= latencyNanos && inFlight.contains(attempt)) {
          endAttempt(attempt, status, now - attempt.startedAt());
        }
      }
    }
  }

  /** Sends a request, ends its attempt after a latency, and returns its endpoint, or -1 if none. */
  long serve(String key, long latencyNanos) {
    String id = nextRequestId();
    long endpoint = attemptedEndpoint(request(id, "c", key));
    if (endpoint >= 0) {
      advance(latencyNanos);
      endAttempt(id, endpoint, AttemptStatus.SUCCESS, latencyNanos);
    }
    return endpoint;
  }

  /** Advances the clock, fires the timers that expire, and returns the resulting actions. */
  List<Action> advance(long nanos) {
    List<Action> actions = new ArrayList<>();
    long end = now + nanos;
    while (true) {
      SetTimer nextTimer =
          timers.stream().min(Comparator.comparingLong(SetTimer::atNanos)).orElse(null);
      if (nextTimer == null || nextTimer.atNanos() > end) {
        break;
      }
      timers.remove(nextTimer);
      now = Math.max(now, nextTimer.atNanos());
      actions.addAll(handle(new TimerFired(nextTimer.token())));
    }
    now = end;
    return actions;
  }

  /** Returns the endpoint of the first attempt that the actions start, or -1 if there is none. */
  static long attemptedEndpoint(List<Action> actions) {
    return actions.stream()
        .filter(action -> action instanceof StartAttempt)
        .mapToLong(action -> ((StartAttempt) action).endpointId())
        .findFirst()
        .orElse(-1);
  }

  static boolean containsKind(List<Action> actions, Class<? extends Action> kind) {
    return actions.stream().anyMatch(kind::isInstance);
  }
}
