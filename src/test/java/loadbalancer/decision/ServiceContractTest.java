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

/**
 * Feeds random valid events to engines with random settings and checks the actions against the
 * service contract alone, however the engine decides within it.
 */
class ServiceContractTest {

  /** A millisecond in nanoseconds. */
  private static final long MS = 1_000_000L;

  private record ObservedAttempt(long endpointId, String zone, int cell, long startedAt) {}

  /** A request as seen from outside the engine. */
  private static final class ObservedRequest {
    final RequestClass type;
    final long deadline;
    final List<ObservedAttempt> attempts = new ArrayList<>();
    final List<AttemptStatus> statuses = new ArrayList<>();
    boolean answered;

    ObservedRequest(RequestClass type, long deadline) {
      this.type = type;
      this.deadline = deadline;
    }

    int inFlight() {
      return (int) statuses.stream().filter(e -> e == null).count();
    }
  }

  private final Map<String, ObservedRequest> requests = new LinkedHashMap<>();
  private final Map<Long, Endpoint> fleet = new LinkedHashMap<>();
  private final List<SetTimer> timers = new ArrayList<>();
  private SplittableRandom random;
  private Settings settings;
  private LoadBalancingEngine engine;
  private long now = 5_000_000 * MS;
  private int requestCount;

  @ParameterizedTest
  @ValueSource(
      longs = {
        1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24
      })
  void keepsTheServiceContract(long seed) {
    random = new SplittableRandom(seed);
    settings = settings();
    engine = new LoadBalancingEngine(settings, seed);
    for (int i = 0; i < 8; i++) {
      changeEndpoint(i);
    }
    handle(new EndpointListUpdate(UpdateKind.CACHED, List.copyOf(fleet.values())));
    for (int round = 0; round < 3000; round++) {
      now += random.nextLong(6) * MS;
      fireTimers();
      if (random.nextInt(100) < 4) {
        Endpoint changed = changeEndpoint(random.nextInt(12));
        handle(
            random.nextBoolean()
                ? new EndpointListUpdate(UpdateKind.DELTA, List.of(changed))
                : new EndpointListUpdate(UpdateKind.FULL, List.copyOf(fleet.values())));
      } else if (random.nextInt(100) < 1) {
        handle(new EndpointListUpdate(UpdateKind.FAILED, List.of()));
      }
      sendRequests();
      endAttempts(40);
    }
    for (int round = 0; round < 300; round++) {
      now += 5 * MS;
      fireTimers();
      endAttempts(100);
    }
    assertNoStateRemains();
  }

  private void sendRequests() {
    for (int n = random.nextInt(4); n > 0; n--) {
      RequestClass type = settings.classes().get(random.nextInt(settings.classes().size()));
      long deadline = now + (20 + random.nextInt(600)) * MS;
      requests.put("r" + requestCount, new ObservedRequest(type, deadline));
      handle(
          new RequestArrived(
              "r" + requestCount++,
              type.name(),
              random.nextBoolean() ? "t" : null,
              random.nextInt(5) == 0 ? null : "k" + random.nextInt(30),
              deadline,
              0,
              false));
    }
  }

  private void assertNoStateRemains() {
    requests.forEach((id, request) -> assertTrue(request.answered, "no final answer for " + id));
    long timersBefore = timers.size();
    now += 60_000 * MS;
    fireTimers();
    assertTrue(
        timers.size() <= 1 && timersBefore <= 2,
        "state remains after the traffic stopped: " + timers.size() + " timers");
    assertEquals(0, engine.lifecycle.inFlight.size(), "requests still in flight");
    assertEquals(0, engine.lifecycle.queue.size(), "requests still queued");
  }

  private List<RequestClass> classes() {
    List<RequestClass> classes = new ArrayList<>();
    for (Idempotence idempotence : Idempotence.values()) {
      for (DedupScope scope : DedupScope.values()) {
        classes.add(
            new RequestClass(
                idempotence + " " + scope,
                idempotence,
                scope,
                (50 + random.nextInt(300)) * MS,
                (50 + random.nextInt(200)) * MS,
                0,
                700 * MS,
                1 + random.nextInt(3),
                0,
                false));
      }
    }
    return classes;
  }

  private Settings settings() {
    List<RequestClass> classes = classes();
    return new Settings(
        0,
        1 + random.nextInt(3),
        "z0",
        classes,
        List.of(new Tenant("t", 1, random.nextInt(200))),
        new Limits(
            random.nextBoolean(),
            false,
            false,
            random.nextBoolean(),
            true,
            1000 * MS,
            1 + random.nextInt(6),
            40 + random.nextInt(1000),
            1,
            100 * MS),
        new ServiceContract(
            12 * MS, random.nextBoolean() ? 10_000 * MS : 0, 0, 0.2, 5000 * MS, 3, 2000 * MS),
        new Prices(0, 0, 0),
        random.nextBoolean(),
        WeightKind.values()[random.nextInt(4)],
        0.1,
        true,
        MS);
  }

  /** Gives an endpoint a random state, start and weight, and returns its new list entry. */
  private Endpoint changeEndpoint(long id) {
    EndpointState state =
        random.nextInt(3) > 0
            ? EndpointState.READY
            : random.nextBoolean() ? EndpointState.DRAINING : EndpointState.GONE;
    Endpoint entry =
        new Endpoint(
            id,
            "z" + id % 2,
            (int) (id / 3 * 2 + id % 2),
            state,
            random.nextInt(4) == 0 ? now : 0,
            1 + random.nextInt(4));
    fleet.put(id, entry);
    return entry;
  }

  private void fireTimers() {
    List<SetTimer> due = timers.stream().filter(t -> t.atNanos() <= now).toList();
    timers.removeAll(due);
    due.forEach(t -> handle(new TimerFired(t.token())));
  }

  /** Ends attempts: those past the deadline time out, others end at random. */
  private void endAttempts(int percent) {
    for (Map.Entry<String, ObservedRequest> known : List.copyOf(requests.entrySet())) {
      ObservedRequest request = known.getValue();
      for (int i = 0; i < request.attempts.size(); i++) {
        boolean late = now >= request.deadline;
        if (request.statuses.get(i) == null && (late || random.nextInt(100) < percent / 4)) {
          AttemptStatus status =
              request.answered && random.nextBoolean()
                  ? AttemptStatus.CANCELLED
                  : late
                      ? AttemptStatus.TIMEOUT
                      : random.nextInt(2) == 0
                          ? AttemptStatus.SUCCESS
                          : AttemptStatus.values()[random.nextInt(AttemptStatus.values().length)];
          request.statuses.set(i, status);
          request.answered |= status == AttemptStatus.SUCCESS;
          handle(
              new AttemptEnded(
                  known.getKey(),
                  i,
                  request.attempts.get(i).endpointId(),
                  status,
                  now - request.attempts.get(i).startedAt(),
                  request.answered,
                  Map.of()));
        }
      }
      if (!request.answered && random.nextInt(2000) == 0) {
        request.answered = true;
        handle(new ClientDisconnected(known.getKey()));
      }
      assertTrue(
          request.answered || now <= request.deadline + settings.contract().responseSlackNanos(),
          "late final answer for " + known.getKey());
    }
    requests.values().removeIf(entry -> entry.answered && entry.inFlight() == 0);
  }

  private void handle(Event event) {
    List<Action> actions = new ArrayList<>();
    engine.handle(now, event, actions::add);
    for (Action action : actions) {
      if (action instanceof SetTimer timer) {
        timers.add(timer);
      } else if (action instanceof StartAttempt start) {
        checkAttempt(requests.get(start.requestId()), start);
      } else if (action instanceof RejectRequest rejection) {
        ObservedRequest request = requests.get(rejection.requestId());
        assertTrue(!request.answered, "one final answer");
        boolean mayHaveRun =
            request.statuses.stream().anyMatch(x -> x == null || !x.provesNotRun());
        assertTrue(
            !mayHaveRun
                || request.type.idempotence() == Idempotence.IDEMPOTENT
                || (request.type.idempotence() == Idempotence.IDEMPOTENCY_KEY
                    && request.type.dedupScope() == DedupScope.ALL),
            "rejection although it may have run");
        request.answered = true;
      } else if (action instanceof FailRequest failure) {
        assertTrue(!requests.get(failure.requestId()).answered, "one final answer");
        requests.get(failure.requestId()).answered = true;
      } else if (action instanceof CancelAttempt) {
        assertTrue(settings.limits().cancellation());
      }
    }
  }

  private void checkAttempt(ObservedRequest request, StartAttempt start) {
    Endpoint endpoint = fleet.get(start.endpointId());
    assertTrue(!request.answered, "attempt after the final answer");
    assertEquals(EndpointState.READY, endpoint.state(), "attempt at a draining or gone endpoint");
    assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
    assertTrue(
        request.inFlight() == 0 || settings.limits().hedging(),
        "hedge although hedging is not allowed");
    assertTrue(now < request.deadline, "attempt past the deadline");
    for (int i = 0; i < request.attempts.size(); i++) {
      ObservedAttempt earlier = request.attempts.get(i);
      if (request.type.idempotence() != Idempotence.IDEMPOTENT
          && (request.statuses.get(i) == null || !request.statuses.get(i).provesNotRun())) {
        assertEquals(
            Idempotence.IDEMPOTENCY_KEY,
            request.type.idempotence(),
            "non-idempotent request attempted again");
        assertTrue(
            now - earlier.startedAt() < request.type.dedupWindowNanos(),
            "retried past the dedup window");
        assertTrue(
            request.type.dedupScope() == DedupScope.ALL
                || (request.type.dedupScope() == DedupScope.ZONE
                    && earlier.zone().equals(endpoint.zone()))
                || (request.type.dedupScope() == DedupScope.CELL
                    && earlier.cell() == endpoint.cell()),
            "retried outside the dedup scope");
      }
    }
    request.attempts.add(new ObservedAttempt(endpoint.id(), endpoint.zone(), endpoint.cell(), now));
    request.statuses.add(null);
  }
}
