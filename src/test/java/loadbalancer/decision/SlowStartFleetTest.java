package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.LongConsumer;
import loadbalancer.decision.api.Action;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What all balancers of a fleet together send to a cold upstream: no one of them sees what the others do. */
class SlowStartFleetTest {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;
  private static final long WINDOW = 2 * SECOND;
  private static final long WARM = 22 * SECOND;
  private static final double MULTIPLE = 2.5;
  private static final double FROM = 0.14;
  private static final int UPSTREAMS = 40;
  /** The part of the quotas that is asked, and what a crowd asks. */
  private static final double ASKED = 0.8;
  private static final double CROWD = 1.3;
  /** Of what a warm one gets, at least this part is sent to cold ones; over their time they have 0.57 of its capacity. */
  private static final double LEAST_USED = 0.05;
  private static final long LATENCY = 60 * MS;
  private static final long START = 1_000 * SECOND;

  private static Settings settings(int me, int balancers, double quota) {
    RequestClass type = new RequestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL, 2 * SECOND, 400 * MS, 0, 2 * SECOND, 1, 0, false);
    return new Settings(me, balancers, "a", List.of(type), List.of(new Tenant("t", 1, quota * UPSTREAMS)),
        new Limits(true, false, false, true, true, SECOND, 4, 10_000, 1, 200 * MS),
        new ServiceContract(20 * MS, 0, 500 * MS, FROM, WARM, MULTIPLE, WINDOW), new Prices(0, 0, 0), false, WeightKind.NONE, 0.05,
        true, 5 * MS);
  }

  /** A fleet in one clock; requests come to the balancers unevenly, and every attempt is served after a while. */
  private static final class Fleet {

    private record Due(long at, long order, LongConsumer what) {}

    final int balancers;
    /** Requests a second that the quotas name for one upstream. */
    final double quota;
    final SplittableRandom random;
    final LoadBalancingEngine[] modules;
    final int[] lives;
    final double[] shares;
    final PriorityQueue<Due> queue = new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    final List<Endpoint> list = new ArrayList<>();
    final Map<Long, List<Long>> sends = new HashMap<>();
    long now = START;
    long order;
    int ids;
    double asked;

    Fleet(int balancers, double quota, double asked, long seed) {
      this.balancers = balancers;
      this.quota = quota;
      this.asked = asked;
      random = new SplittableRandom(seed);
      modules = new LoadBalancingEngine[balancers];
      lives = new int[balancers];
      shares = new double[balancers];
      double sum = 0;
      for (int b = 0; b < balancers; b++) {
        shares[b] = -Math.log(1 - random.nextDouble()) + 0.1;
        sum += shares[b];
      }
      for (int b = 0; b < balancers; b++) {
        shares[b] /= sum;
      }
      for (int u = 0; u < UPSTREAMS; u++) {
        list.add(new Endpoint(100 + u, "a", 0, EndpointState.READY, 0, 1));
      }
      for (int b = 0; b < balancers; b++) {
        restart(b);
      }
      at(now, this::arrive);
    }

    void at(long when, LongConsumer what) {
      queue.add(new Due(when, order++, what));
    }

    /** Forgets all that it knew and begins with the list. */
    void restart(int b) {
      lives[b]++;
      modules[b] = new LoadBalancingEngine(settings(b, balancers, quota), random.nextLong());
      step(b, new EndpointListUpdate(UpdateKind.CACHED, List.copyOf(list)));
    }

    void step(int b, Event event) {
      List<Action> actions = new ArrayList<>();
      modules[b].handle(now, event, actions::add);
      int life = lives[b];
      for (Action action : actions) {
        if (action instanceof SetTimer t) {
          at(Math.max(now, t.atNanos()), when -> {
            if (lives[b] == life) {
              step(b, new TimerFired(t.token()));
            }
          });
        } else if (action instanceof StartAttempt s) {
          sends.computeIfAbsent(s.endpointId(), u -> new ArrayList<>()).add(now);
          long sentAt = now;
          at(now + LATENCY, when -> {
            if (lives[b] == life) {
              step(b, new AttemptEnded(s.requestId(), 0, s.endpointId(), AttemptStatus.SUCCESS, when - sentAt, true, Map.of()));
            }
          });
        }
      }
    }

    void arrive(long when) {
      double point = random.nextDouble();
      int b = 0;
      while (b < balancers - 1 && point > shares[b]) {
        point -= shares[b++];
      }
      // Few keys have much of the traffic.
      String key = "k" + (int) Math.pow(1000, random.nextDouble());
      step(b, new RequestArrived("r" + ids++, "c", "t", key, now + 2 * SECOND, 0, false));
      at(now + (long) (-Math.log(1 - random.nextDouble()) * SECOND / (quota * UPSTREAMS * asked)), this::arrive);
    }

    void run(long nanos) {
      long end = now + nanos;
      while (queue.peek().at() <= end) {
        Due due = queue.poll();
        now = due.at();
        due.what().accept(now);
      }
      now = end;
    }

    /** The first upstreams start anew, cold, and all balancers are told. */
    void start(int cold) {
      for (int u = 0; u < cold; u++) {
        list.set(u, new Endpoint(100 + u, "a", 0, EndpointState.READY, now, 1));
      }
      for (int b = 0; b < balancers; b++) {
        step(b, new EndpointListUpdate(UpdateKind.FULL, List.copyOf(list)));
      }
    }

    /** By how much the sends of any window went over what is put down to chance. */
    double over(int upstream, long startedAt) {
      List<Long> times = sends.getOrDefault(100L + upstream, List.of()).stream().filter(t -> t >= startedAt).toList();
      double worst = Double.NEGATIVE_INFINITY;
      for (int i = 0, j = 0; i < times.size(); i++) {
        while (j < times.size() && times.get(j) < times.get(i) + WINDOW) {
          j++;
        }
        double part = Math.min(1, (times.get(i) - startedAt) / (double) WARM);
        // N as the settings have it: the multiple of what an upstream so warm can do, for which the quotas stand.
        double n = MULTIPLE * (FROM + (1 - FROM) * part) * quota * WINDOW / SECOND;
        worst = Math.max(worst, j - i - (n + 2 * Math.sqrt(n) + 2));
      }
      return worst;
    }
  }

  private static Fleet warmedUp(int balancers, double quota, double asked, long seed) {
    Fleet fleet = new Fleet(balancers, quota, asked, seed);
    fleet.run(15 * SECOND);
    return fleet;
  }

  /** What upstreams from the first on were sent stays within their budgets, and they were served from at all. */
  private static void assertWithin(Fleet fleet, int cold, long startedAt, String what) {
    String told = what + ", " + fleet.balancers + " balancers, " + fleet.quota + " a second for each";
    int sends = 0;
    for (int u = 0; u < cold; u++) {
      double over = fleet.over(u, startedAt);
      assertTrue(over <= 0, told + ": over by " + over);
      sends += fleet.sends.getOrDefault(100L + u, List.of()).stream().filter(t -> t >= startedAt).count();
    }
    double used = sends / (cold * fleet.quota * ASKED * (fleet.now - startedAt) / SECOND);
    assertTrue(used >= LEAST_USED, told + ": sent them " + used + " of what warm ones get");
  }

  @ParameterizedTest
  @CsvSource({"1,1", "1,13", "1,40", "4,1", "4,13", "4,40", "30,1", "30,13", "30,40", "120,1", "120,13", "120,40"})
  void whatAllSendToColdUpstreamsStaysWithinTheirBudgets(int balancers, int cold) {
    for (double quota : new double[] {1.5, 4, 12}) {
      for (double asked : new double[] {ASKED, CROWD}) {
        Fleet fleet = warmedUp(balancers, quota, asked, 1);
        long at = fleet.now;
        fleet.start(cold);
        fleet.run(WARM);
        assertWithin(fleet, cold, at, cold + " cold, asked " + asked);
      }
    }
  }

  /** Traffic that was thin comes at once: what each has saved up meanwhile is not spent together. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 30, 120})
  void aCrowdAfterThinTrafficStaysWithinTheBudgets(int balancers) {
    Fleet fleet = warmedUp(balancers, 12, ASKED, 2);
    fleet.asked = ASKED / 10;
    long at = fleet.now;
    fleet.start(4);
    fleet.run(WARM / 3);
    fleet.asked = CROWD;
    fleet.run(WARM - WARM / 3);
    assertWithin(fleet, 4, at, "a crowd");
  }

  /** A tenth of the balancers is restarted with an empty memory again and again while upstreams are cold, then all of them. */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 30, 120})
  void restartsOfBalancersDoNotAddUp(int balancers) {
    Fleet fleet = warmedUp(balancers, 12, ASKED, 3);
    long at = fleet.now;
    fleet.start(4);
    for (int round = 0; round < 60; round++) {
      for (int b = 0; b < balancers; b++) {
        if (round == 30 || (b + round) % 10 == 0) {
          fleet.restart(b);
        }
      }
      fleet.run(WARM / 60);
    }
    assertWithin(fleet, 4, at, "restarts");
  }
}
