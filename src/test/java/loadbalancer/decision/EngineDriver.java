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
import loadbalancer.decision.api.DecisionEngine;
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

/** Drives one instance by hand: a clock, its timers, and the actions of the last step. */
final class EngineDriver {

  static final long MS = 1_000_000L;

  final DecisionEngine module;
  final List<SetTimer> timers = new ArrayList<>();
  final List<Sent> outstanding = new ArrayList<>();
  final Map<String, Integer> refusals = new HashMap<>();
  final Map<String, Integer> attempts = new HashMap<>();
  long now = 1_000_000_000_000L;
  private int ids;

  /** An attempt that has no outcome yet. */
  record Sent(String id, int attempt, long upstream, long at) {}

  EngineDriver(Settings settings) {
    this(settings, 7);
  }

  EngineDriver(Settings settings, long seed) {
    module = new LoadBalancingEngine(settings, seed);
  }

  static RequestClass type(String name, Idempotence effect, DedupScope scope) {
    return new RequestClass(name, effect, scope, 2000 * MS, 400 * MS, 0, 2000 * MS, 1, 0, false);
  }

  static Settings settings(boolean onRequest, List<Tenant> tenants, RequestClass... classes) {
    return new Settings(0, 1, "a", List.of(classes), tenants,
        new Limits(true, false, false, true, true, 1000 * MS, 4, 10_000, 1, 200 * MS),
        new ServiceContract(8 * MS, onRequest ? 10_000 * MS : 0, 250 * MS, 0.3, 8000 * MS, 3, 3000 * MS),
        new Prices(0, 0, 0), onRequest, WeightKind.NONE, 0.2, true, MS);
  }

  static Settings safe() {
    return settings(false, List.of(), type("c", Idempotence.IDEMPOTENT, DedupScope.ALL));
  }

  static Endpoint up(long id) {
    return new Endpoint(id, "a", 0, EndpointState.READY, 0, 1);
  }

  List<Action> step(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t);
      } else if (action instanceof RejectRequest r) {
        refusals.merge(r.requestId().substring(0, 1), 1, Integer::sum);
      } else if (action instanceof StartAttempt s) {
        outstanding.add(new Sent(s.requestId(), attempts.merge(s.requestId(), 1, Integer::sum) - 1, s.endpointId(), now));
      }
    }
    return actions;
  }

  List<Action> list(UpdateKind kind, Endpoint... entries) {
    return step(new EndpointListUpdate(kind, List.of(entries)));
  }

  EngineDriver upstreams(int n) {
    Endpoint[] entries = new Endpoint[n];
    for (int i = 0; i < n; i++) {
      entries[i] = up(100 + i);
    }
    list(UpdateKind.CACHED, entries);
    return this;
  }

  String nextId() {
    return "r" + ids++;
  }

  List<Action> request(String id, String type, String key) {
    return request(id, type, null, key, 0);
  }

  List<Action> request(String id, String type, String tenant, String key, long hint) {
    return step(new RequestArrived(id, type, tenant, key, now + 2000 * MS, hint, false));
  }

  /** Ends the attempt of a request at an upstream. */
  List<Action> end(String id, long upstream, AttemptStatus status, long latencyNanos) {
    Sent sent = outstanding.stream().filter(s -> s.id().equals(id) && s.upstream() == upstream).findFirst().get();
    return end(sent, status, latencyNanos);
  }

  List<Action> end(Sent sent, AttemptStatus status, long latencyNanos) {
    outstanding.remove(sent);
    return step(new AttemptEnded(sent.id(), sent.attempt(), sent.upstream(), status, latencyNanos,
        status == AttemptStatus.SUCCESS, Map.of()));
  }

  /** Lets time pass with upstreams that end every attempt after the latency. */
  void serveFor(long nanos, AttemptStatus status, long latencyNanos) {
    for (long end = now + nanos; now < end; ) {
      pass(Math.min(5 * MS, end - now));
      for (Sent s : List.copyOf(outstanding)) {
        if (now - s.at() >= latencyNanos && outstanding.contains(s)) {
          end(s, status, now - s.at());
        }
      }
    }
  }

  /** Sends one request and has it served after a latency; the upstream it went to, or -1 where it was not sent. */
  long serve(String key, long latencyNanos) {
    String id = nextId();
    long upstream = sentTo(request(id, "c", key));
    if (upstream >= 0) {
      pass(latencyNanos);
      end(id, upstream, AttemptStatus.SUCCESS, latencyNanos);
    }
    return upstream;
  }

  /** Lets time pass, firing the timers that come due; the actions of all of them. */
  List<Action> pass(long nanos) {
    List<Action> actions = new ArrayList<>();
    long end = now + nanos;
    while (true) {
      SetTimer due = timers.stream().min(Comparator.comparingLong(SetTimer::atNanos)).orElse(null);
      if (due == null || due.atNanos() > end) {
        break;
      }
      timers.remove(due);
      now = Math.max(now, due.atNanos());
      actions.addAll(step(new TimerFired(due.token())));
    }
    now = end;
    return actions;
  }

  static long sentTo(List<Action> actions) {
    return actions.stream().filter(a -> a instanceof StartAttempt).mapToLong(a -> ((StartAttempt) a).endpointId()).findFirst().orElse(-1);
  }

  static boolean has(List<Action> actions, Class<? extends Action> kind) {
    return actions.stream().anyMatch(kind::isInstance);
  }
}
