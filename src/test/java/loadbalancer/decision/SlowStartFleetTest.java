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

/**
 * Tests how many attempts all instances together send to a warming endpoint, although no instance
 * sees the attempts of the others.
 */
class SlowStartFleetTest {

  /** A millisecond in nanoseconds. */
  private static final long MS = 1_000_000L;

  private static final long SECOND = 1000 * MS;
  private static final long WINDOW = 2 * SECOND;
  private static final long SLOW_START = 22 * SECOND;
  private static final double MULTIPLE = 2.5;
  private static final double INITIAL_CAPACITY = 0.14;
  private static final int ENDPOINTS = 40;

  /** Offered traffic as a fraction of the quotas. */
  private static final double ASKED = 0.8;

  /** Offered traffic of a surge as a fraction of the quotas. */
  private static final double SURGE = 1.3;

  /**
   * Least attempts at a warming endpoint as a fraction of those at a warm one. Its mean capacity
   * during slow start is the fraction 0.57.
   */
  private static final double LEAST_USED = 0.05;

  private static final long LATENCY = 60 * MS;
  private static final long START = 1_000 * SECOND;

  private static Settings settings(int me, int instances, double quota) {
    RequestClass type =
        new RequestClass(
            "c",
            Idempotence.IDEMPOTENT,
            DedupScope.ALL,
            2 * SECOND,
            400 * MS,
            0,
            2 * SECOND,
            1,
            0,
            false);
    return new Settings(
        me,
        instances,
        "a",
        List.of(type),
        List.of(new Tenant("t", 1, quota * ENDPOINTS)),
        new Limits(true, false, false, true, true, SECOND, 4, 10_000, 1, 200 * MS),
        new ServiceContract(20 * MS, 0, 500 * MS, INITIAL_CAPACITY, SLOW_START, MULTIPLE, WINDOW),
        new Prices(0, 0, 0),
        false,
        WeightKind.NONE,
        0.05,
        true,
        5 * MS);
  }

  /**
   * A fleet of instances and endpoints with one clock. The instances get different shares of the
   * requests, and every attempt succeeds after {@link #LATENCY}.
   */
  private static final class Fleet {

    private record Due(long at, long order, LongConsumer what) {}

    final int instances;

    /** The total of the quotas for one endpoint, in requests a second. */
    final double quota;

    final SplittableRandom random;
    final LoadBalancingEngine[] engines;
    final int[] incarnations;
    final double[] shares;
    final PriorityQueue<Due> queue =
        new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    final List<Endpoint> list = new ArrayList<>();
    final Map<Long, List<Long>> attempts = new HashMap<>();
    long now = START;
    long order;
    int ids;
    double asked;

    Fleet(int instances, double quota, double asked, long seed) {
      this.instances = instances;
      this.quota = quota;
      this.asked = asked;
      random = new SplittableRandom(seed);
      engines = new LoadBalancingEngine[instances];
      incarnations = new int[instances];
      shares = new double[instances];
      double sum = 0;
      for (int b = 0; b < instances; b++) {
        shares[b] = -Math.log(1 - random.nextDouble()) + 0.1;
        sum += shares[b];
      }
      for (int b = 0; b < instances; b++) {
        shares[b] /= sum;
      }
      for (int e = 0; e < ENDPOINTS; e++) {
        list.add(new Endpoint(100 + e, "a", 0, EndpointState.READY, 0, 1));
      }
      for (int b = 0; b < instances; b++) {
        restart(b);
      }
      at(now, this::arrive);
    }

    void at(long when, LongConsumer what) {
      queue.add(new Due(when, order++, what));
    }

    /** Replaces an instance's engine by a new one, which knows only the endpoint list. */
    void restart(int instance) {
      incarnations[instance]++;
      engines[instance] =
          new LoadBalancingEngine(settings(instance, instances, quota), random.nextLong());
      handle(instance, new EndpointListUpdate(UpdateKind.CACHED, List.copyOf(list)));
    }

    void handle(int instance, Event event) {
      List<Action> actions = new ArrayList<>();
      engines[instance].handle(now, event, actions::add);
      int incarnation = incarnations[instance];
      for (Action action : actions) {
        if (action instanceof SetTimer timer) {
          at(
              Math.max(now, timer.atNanos()),
              when -> {
                if (incarnations[instance] == incarnation) {
                  handle(instance, new TimerFired(timer.token()));
                }
              });
        } else if (action instanceof StartAttempt start) {
          attempts.computeIfAbsent(start.endpointId(), u -> new ArrayList<>()).add(now);
          long startedAt = now;
          at(
              now + LATENCY,
              when -> {
                if (incarnations[instance] == incarnation) {
                  handle(
                      instance,
                      new AttemptEnded(
                          start.requestId(),
                          0,
                          start.endpointId(),
                          AttemptStatus.SUCCESS,
                          when - startedAt,
                          true,
                          Map.of()));
                }
              });
        }
      }
    }

    void arrive(long when) {
      double point = random.nextDouble();
      int instance = 0;
      while (instance < instances - 1 && point > shares[instance]) {
        point -= shares[instance++];
      }
      // A few keys get much of the traffic.
      String key = "k" + (int) Math.pow(1000, random.nextDouble());
      handle(instance, new RequestArrived("r" + ids++, "c", "t", key, now + 2 * SECOND, 0, false));
      at(
          now + (long) (-Math.log(1 - random.nextDouble()) * SECOND / (quota * ENDPOINTS * asked)),
          this::arrive);
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

    /** Restarts the first endpoints of the list and notifies all instances. */
    void start(int warming) {
      for (int e = 0; e < warming; e++) {
        list.set(e, new Endpoint(100 + e, "a", 0, EndpointState.READY, now, 1));
      }
      for (int b = 0; b < instances; b++) {
        handle(b, new EndpointListUpdate(UpdateKind.FULL, List.copyOf(list)));
      }
    }

    /**
     * Returns by how many the attempts in the worst window exceed the budget plus a margin for
     * random variation.
     */
    double excess(int endpoint, long startedAt) {
      List<Long> times =
          attempts.getOrDefault(100L + endpoint, List.of()).stream()
              .filter(t -> t >= startedAt)
              .toList();
      double worst = Double.NEGATIVE_INFINITY;
      for (int i = 0, j = 0; i < times.size(); i++) {
        while (j < times.size() && times.get(j) < times.get(i) + WINDOW) {
          j++;
        }
        double part = Math.min(1, (times.get(i) - startedAt) / (double) SLOW_START);
        // The quota stands for the capacity of a warm endpoint.
        double budget =
            MULTIPLE * (INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * part) * quota * WINDOW / SECOND;
        worst = Math.max(worst, j - i - (budget + 2 * Math.sqrt(budget) + 2));
      }
      return worst;
    }
  }

  private static Fleet afterWarmUp(int instances, double quota, double asked, long seed) {
    Fleet fleet = new Fleet(instances, quota, asked, seed);
    fleet.run(15 * SECOND);
    return fleet;
  }

  /**
   * Asserts that the attempts at each warming endpoint stay within its budget, and that the warming
   * endpoints get some.
   */
  private static void assertWithin(Fleet fleet, int warming, long startedAt, String what) {
    String message =
        what + ", " + fleet.instances + " instances, " + fleet.quota + " a second for each";
    long attempts = 0;
    for (int e = 0; e < warming; e++) {
      double over = fleet.excess(e, startedAt);
      assertTrue(over <= 0, message + ": attempts beyond the budget: " + over);
      attempts +=
          fleet.attempts.getOrDefault(100L + e, List.of()).stream()
              .filter(t -> t >= startedAt)
              .count();
    }
    double used = attempts / (warming * fleet.quota * ASKED * (fleet.now - startedAt) / SECOND);
    assertTrue(
        used >= LEAST_USED,
        message + ": attempts as a fraction of those at warm endpoints: " + used);
  }

  @ParameterizedTest
  @CsvSource({
    "1,1", "1,13", "1,40", "4,1", "4,13", "4,40", "30,1", "30,13", "30,40", "120,1", "120,13",
    "120,40"
  })
  void attemptsOfAllInstancesStayWithinTheBudgets(int instances, int warming) {
    for (double quota : new double[] {1.5, 4, 12}) {
      for (double asked : new double[] {ASKED, SURGE}) {
        Fleet fleet = afterWarmUp(instances, quota, asked, 1);
        long at = fleet.now;
        fleet.start(warming);
        fleet.run(SLOW_START);
        assertWithin(fleet, warming, at, warming + " warming, asked " + asked);
      }
    }
  }

  /**
   * When traffic rises from a tenth of the usual to a surge, the tokens that the instances saved
   * meanwhile must not be spent all at once.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 30, 120})
  void aSurgeAfterThinTrafficStaysWithinTheBudgets(int instances) {
    Fleet fleet = afterWarmUp(instances, 12, ASKED, 2);
    fleet.asked = ASKED / 10;
    long at = fleet.now;
    fleet.start(4);
    fleet.run(SLOW_START / 3);
    fleet.asked = SURGE;
    fleet.run(SLOW_START - SLOW_START / 3);
    assertWithin(fleet, 4, at, "a surge");
  }

  /**
   * While endpoints warm up, a tenth of the instances restart in each round, and all of them once.
   * A restarted engine has no state.
   */
  @ParameterizedTest
  @CsvSource({"1,4", "4,4", "30,4", "120,4", "1,40", "4,40", "30,40", "120,40"})
  void restartsOfInstancesDoNotAddUp(int instances, int warming) {
    Fleet fleet = afterWarmUp(instances, 12, ASKED, 3);
    long at = fleet.now;
    fleet.start(warming);
    for (int round = 0; round < 60; round++) {
      for (int b = 0; b < instances; b++) {
        if (round == 30 || (b + round) % 10 == 0) {
          fleet.restart(b);
        }
      }
      fleet.run(SLOW_START / 60);
    }
    assertWithin(fleet, warming, at, "restarts");
  }
}
