package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.SetTimer;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random legal events over seeds and settings; the observer knows the four rules and nothing of the module. */
class OverloadTest {

  private static final long MS = 1_000_000L;

  private record Try(long upstream, String zone, int cell, long at) {}

  /** The observer's book on one request. */
  private static final class Entry {
    final RequestClass type;
    final long deadline;
    final List<Try> tries = new ArrayList<>();
    final List<AttemptStatus> ends = new ArrayList<>();
    boolean answered;

    Entry(RequestClass type, long deadline) {
      this.type = type;
      this.deadline = deadline;
    }

    int out() {
      return (int) ends.stream().filter(e -> e == null).count();
    }
  }

  private final Map<String, Entry> book = new LinkedHashMap<>();
  private final Map<Long, Endpoint> fleet = new LinkedHashMap<>();
  private final List<SetTimer> timers = new ArrayList<>();
  private SplittableRandom random;
  private Settings settings;
  private LoadBalancingEngine module;
  private long now = 5_000_000 * MS;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24})
  void rulesHold(long seed) {
    random = new SplittableRandom(seed);
    settings = settings();
    module = new LoadBalancingEngine(settings, seed);
    for (int i = 0; i < 8; i++) {
      change(i);
    }
    step(new EndpointListUpdate(UpdateKind.CACHED, List.copyOf(fleet.values())));
    int id = 0;
    for (int round = 0; round < 3000; round++) {
      now += random.nextLong(6) * MS;
      fire();
      if (random.nextInt(100) < 4) {
        Endpoint changed = change(random.nextInt(12));
        step(random.nextBoolean() ? new EndpointListUpdate(UpdateKind.DELTA, List.of(changed))
            : new EndpointListUpdate(UpdateKind.FULL, List.copyOf(fleet.values())));
      } else if (random.nextInt(100) < 1) {
        step(new EndpointListUpdate(UpdateKind.FAILED, List.of()));
      }
      for (int n = random.nextInt(4); n > 0; n--) {
        RequestClass type = settings.classes().get(random.nextInt(settings.classes().size()));
        long deadline = now + (20 + random.nextInt(600)) * MS;
        book.put("r" + id, new Entry(type, deadline));
        step(new RequestArrived("r" + id++, type.name(), random.nextBoolean() ? "t" : null,
            random.nextInt(5) == 0 ? null : "k" + random.nextInt(30), deadline, 0, false));
      }
      outcomes(40);
    }
    for (int round = 0; round < 300; round++) {
      now += 5 * MS;
      fire();
      outcomes(100);
    }
    book.forEach((name, e) -> assertTrue(e.answered, "no final answer for " + name));
    long idle = timers.size();
    now += 60_000 * MS;
    fire();
    assertTrue(timers.size() <= 1 && idle <= 2, "state empties when traffic stops: " + timers.size() + " timers");
    assertEquals(0, module.lifecycle.inFlight.size(), "requests still in flight");
    assertEquals(0, module.lifecycle.queue.size(), "requests still queued");
  }

  private Settings settings() {
    List<RequestClass> classes = new ArrayList<>();
    for (Idempotence effect : Idempotence.values()) {
      for (DedupScope scope : DedupScope.values()) {
        classes.add(new RequestClass(effect + " " + scope, effect, scope, (50 + random.nextInt(300)) * MS,
            (50 + random.nextInt(200)) * MS, 0, 700 * MS, 1 + random.nextInt(3), 0, false));
      }
    }
    return new Settings(0, 1 + random.nextInt(3), "z0", classes, List.of(new Tenant("t", 1, random.nextInt(200))),
        new Limits(random.nextBoolean(), false, false, random.nextBoolean(), true, 1000 * MS, 1 + random.nextInt(6),
            40 + random.nextInt(1000), 1, 100 * MS),
        new ServiceContract(12 * MS, random.nextBoolean() ? 10_000 * MS : 0, 0, 0.2, 5000 * MS, 3, 2000 * MS),
        new Prices(0, 0, 0), random.nextBoolean(), WeightKind.values()[random.nextInt(4)], 0.1, true, MS);
  }

  /** A new state for one upstream. */
  private Endpoint change(long id) {
    EndpointState state = random.nextInt(3) > 0 ? EndpointState.READY : random.nextBoolean() ? EndpointState.DRAINING : EndpointState.GONE;
    Endpoint listed = new Endpoint(id, "z" + id % 2, (int) (id / 3 * 2 + id % 2), state,
        random.nextInt(4) == 0 ? now : 0, 1 + random.nextInt(4));
    fleet.put(id, listed);
    return listed;
  }

  private void fire() {
    List<SetTimer> due = timers.stream().filter(t -> t.atNanos() <= now).toList();
    timers.removeAll(due);
    due.forEach(t -> step(new TimerFired(t.token())));
  }

  /** Ends some attempts: those past the deadline time out, others end at random. */
  private void outcomes(int percent) {
    for (Map.Entry<String, Entry> entry : List.copyOf(book.entrySet())) {
      Entry e = entry.getValue();
      for (int i = 0; i < e.tries.size(); i++) {
        boolean late = now >= e.deadline;
        if (e.ends.get(i) == null && (late || random.nextInt(100) < percent / 4)) {
          AttemptStatus status = e.answered && random.nextBoolean() ? AttemptStatus.CANCELLED : late ? AttemptStatus.TIMEOUT
              : random.nextInt(2) == 0 ? AttemptStatus.SUCCESS : AttemptStatus.values()[random.nextInt(AttemptStatus.values().length)];
          e.ends.set(i, status);
          e.answered |= status == AttemptStatus.SUCCESS;
          step(new AttemptEnded(entry.getKey(), i, e.tries.get(i).upstream(), status, now - e.tries.get(i).at(), e.answered,
              Map.of()));
        }
      }
      if (!e.answered && random.nextInt(2000) == 0) {
        e.answered = true;
        step(new ClientDisconnected(entry.getKey()));
      }
      assertTrue(e.answered || now <= e.deadline + settings.contract().responseSlackNanos(), "late: " + entry.getKey());
    }
    book.values().removeIf(e -> e.answered && e.out() == 0);
  }

  private void step(Event event) {
    List<Action> actions = new ArrayList<>();
    module.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer t) {
        timers.add(t);
      } else if (action instanceof StartAttempt s) {
        checkSend(book.get(s.requestId()), s);
      } else if (action instanceof RejectRequest r) {
        Entry e = book.get(r.requestId());
        assertTrue(!e.answered, "one final answer");
        boolean open = e.ends.stream().anyMatch(x -> x == null || !x.provesNotRun());
        assertTrue(!open || e.type.idempotence() == Idempotence.IDEMPOTENT
            || e.type.idempotence() == Idempotence.IDEMPOTENCY_KEY && e.type.dedupScope() == DedupScope.ALL, "refusal promises too much");
        e.answered = true;
      } else if (action instanceof FailRequest f) {
        assertTrue(!book.get(f.requestId()).answered, "one final answer");
        book.get(f.requestId()).answered = true;
      } else if (action instanceof CancelAttempt) {
        assertTrue(settings.limits().cancellation());
      }
    }
  }

  private void checkSend(Entry e, StartAttempt s) {
    Endpoint to = fleet.get(s.endpointId());
    assertTrue(!e.answered, "sent after the final answer");
    assertEquals(EndpointState.READY, to.state(), "sent to a draining or gone upstream");
    assertTrue(e.tries.size() < settings.limits().maxAttempts(), "too many attempts");
    assertTrue(e.out() == 0 || settings.limits().hedging(), "second copy");
    assertTrue(now < e.deadline, "sent past the deadline");
    for (int i = 0; i < e.tries.size(); i++) {
      Try t = e.tries.get(i);
      if (e.type.idempotence() != Idempotence.IDEMPOTENT && (e.ends.get(i) == null || !e.ends.get(i).provesNotRun())) {
        assertEquals(Idempotence.IDEMPOTENCY_KEY, e.type.idempotence(), "unsafe sent again");
        assertTrue(now - t.at() < e.type.dedupWindowNanos(), "resent past the window");
        assertTrue(e.type.dedupScope() == DedupScope.ALL
            || e.type.dedupScope() == DedupScope.ZONE && t.zone().equals(to.zone())
            || e.type.dedupScope() == DedupScope.CELL && t.cell() == to.cell(), "resent outside the group");
      }
    }
    e.tries.add(new Try(to.id(), to.zone(), to.cell(), now));
    e.ends.add(null);
  }
}
