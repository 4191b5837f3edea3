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
  private static final long OVERLOAD_WINDOW = 2 * SECOND;
  private static final long SLOW_START = 22 * SECOND;
  private static final double OVERLOAD_MULTIPLE = 2.5;
  private static final double INITIAL_CAPACITY = 0.14;
  private static final int ENDPOINTS = 40;

  /** Offered traffic as a fraction of the quotas. */
  private static final double OFFERED_FRACTION = 0.8;

  /** Offered traffic of a surge as a fraction of the quotas. */
  private static final double SURGE_FRACTION = 1.3;

  /**
   * Least attempts at a warming endpoint as a fraction of those at a warm one. Its mean capacity
   * during slow start is the fraction 0.57.
   */
  private static final double MIN_USED_FRACTION = 0.05;

  private static final long LATENCY = 60 * MS;
  private static final long START = 1_000 * SECOND;

  private static Settings settings(int instanceIndex, int instances, double quota) {
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
        instanceIndex,
        instances,
        "a",
        List.of(type),
        List.of(new Tenant("t", 1, quota * ENDPOINTS)),
        new Limits(true, false, false, true, true, SECOND, 4, 10_000, 1, 200 * MS),
        new ServiceContract(
            20 * MS, 0, 500 * MS, INITIAL_CAPACITY, SLOW_START, OVERLOAD_MULTIPLE, OVERLOAD_WINDOW),
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

    private record ScheduledTask(long at, long order, LongConsumer task) {}

    final int instances;

    /** The total of the quotas for one endpoint, in requests a second. */
    final double quota;

    final SplittableRandom random;
    final LoadBalancingEngine[] engines;
    final int[] incarnations;
    final double[] shares;
    final PriorityQueue<ScheduledTask> queue =
        new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    final List<Endpoint> endpointList = new ArrayList<>();
    final Map<Long, List<Long>> attempts = new HashMap<>();
    long now = START;
    long order;
    int requestCount;
    double offeredFraction;

    Fleet(int instances, double quota, double offeredFraction, long seed) {
      this.instances = instances;
      this.quota = quota;
      this.offeredFraction = offeredFraction;
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
        endpointList.add(new Endpoint(100 + e, "a", 0, EndpointState.READY, 0, 1));
      }
      for (int b = 0; b < instances; b++) {
        restartInstance(b);
      }
      schedule(now, this::sendRequest);
    }

    void schedule(long when, LongConsumer task) {
      queue.add(new ScheduledTask(when, order++, task));
    }

    /** Replaces an instance's engine by a new one, which knows only the endpoint list. */
    void restartInstance(int instance) {
      incarnations[instance]++;
      engines[instance] =
          new LoadBalancingEngine(settings(instance, instances, quota), random.nextLong());
      handle(instance, new EndpointListUpdate(UpdateKind.CACHED, List.copyOf(endpointList)));
    }

    void handle(int instance, Event event) {
      List<Action> actions = new ArrayList<>();
      engines[instance].handle(now, event, actions::add);
      int incarnation = incarnations[instance];
      for (Action action : actions) {
        if (action instanceof SetTimer timer) {
          schedule(
              Math.max(now, timer.atNanos()),
              when -> {
                if (incarnations[instance] == incarnation) {
                  handle(instance, new TimerFired(timer.token()));
                }
              });
        } else if (action instanceof StartAttempt start) {
          attempts.computeIfAbsent(start.endpointId(), u -> new ArrayList<>()).add(now);
          long startedAt = now;
          schedule(
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

    void sendRequest(long when) {
      double point = random.nextDouble();
      int instance = 0;
      while (instance < instances - 1 && point > shares[instance]) {
        point -= shares[instance++];
      }
      // A few keys get much of the traffic.
      String key = "k" + (int) Math.pow(1000, random.nextDouble());
      handle(
          instance,
          new RequestArrived("r" + requestCount++, "c", "t", key, now + 2 * SECOND, 0, false));
      schedule(
          now
              + (long)
                  (-Math.log(1 - random.nextDouble())
                      * SECOND
                      / (quota * ENDPOINTS * offeredFraction)),
          this::sendRequest);
    }

    void runFor(long nanos) {
      long end = now + nanos;
      while (queue.peek().at() <= end) {
        ScheduledTask due = queue.poll();
        now = due.at();
        due.task().accept(now);
      }
      now = end;
    }

    /** Restarts the first endpoints of the list and notifies all instances. */
    void restartEndpoints(int warming) {
      for (int e = 0; e < warming; e++) {
        endpointList.set(e, new Endpoint(100 + e, "a", 0, EndpointState.READY, now, 1));
      }
      for (int b = 0; b < instances; b++) {
        handle(b, new EndpointListUpdate(UpdateKind.FULL, List.copyOf(endpointList)));
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
        while (j < times.size() && times.get(j) < times.get(i) + OVERLOAD_WINDOW) {
          j++;
        }
        double progress = Math.min(1, (times.get(i) - startedAt) / (double) SLOW_START);
        // The quota stands for the capacity of a warm endpoint.
        double budget =
            OVERLOAD_MULTIPLE
                * (INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * progress)
                * quota
                * OVERLOAD_WINDOW
                / SECOND;
        worst = Math.max(worst, j - i - (budget + 2 * Math.sqrt(budget) + 2));
      }
      return worst;
    }
  }

  private static Fleet afterWarmUp(int instances, double quota, double offeredFraction, long seed) {
    Fleet fleet = new Fleet(instances, quota, offeredFraction, seed);
    fleet.runFor(15 * SECOND);
    return fleet;
  }

  /**
   * Asserts that the attempts at each warming endpoint stay within its budget, and that the warming
   * endpoints get some.
   */
  private static void assertWithin(Fleet fleet, int warming, long startedAt, String description) {
    String message =
        description + ", " + fleet.instances + " instances, " + fleet.quota + " a second for each";
    long attempts = 0;
    for (int e = 0; e < warming; e++) {
      double over = fleet.excess(e, startedAt);
      assertTrue(over <= 0, message + ": attempts beyond the budget: " + over);
      attempts +=
          fleet.attempts.getOrDefault(100L + e, List.of()).stream()
              .filter(t -> t >= startedAt)
              .count();
    }
    double used =
        attempts / (warming * fleet.quota * OFFERED_FRACTION * (fleet.now - startedAt) / SECOND);
    assertTrue(
        used >= MIN_USED_FRACTION,
        message + ": attempts at them " + used + " of those at warm ones");
  }

  @ParameterizedTest
  @CsvSource({
    "1,1", "1,13", "1,40", "4,1", "4,13", "4,40", "30,1", "30,13", "30,40", "120,1", "120,13",
    "120,40"
  })
  void attemptsOfAllInstancesStayWithinTheBudgets(int instances, int warming) {
    for (double quota : new double[] {1.5, 4, 12}) {
      for (double offeredFraction : new double[] {OFFERED_FRACTION, SURGE_FRACTION}) {
        Fleet fleet = afterWarmUp(instances, quota, offeredFraction, 1);
        long at = fleet.now;
        fleet.restartEndpoints(warming);
        fleet.runFor(SLOW_START);
        assertWithin(fleet, warming, at, warming + " warming, asked " + offeredFraction);
      }
    }
  }

  /**
   * When traffic rises from a tenth of the usual to a surge, the tokens that the instances saved
   * meanwhile must not be spent all at once.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 30, 120})
  void aSurgeAfterLightTrafficStaysWithinTheBudgets(int instances) {
    Fleet fleet = afterWarmUp(instances, 12, OFFERED_FRACTION, 2);
    fleet.offeredFraction = OFFERED_FRACTION / 10;
    long at = fleet.now;
    fleet.restartEndpoints(4);
    fleet.runFor(SLOW_START / 3);
    fleet.offeredFraction = SURGE_FRACTION;
    fleet.runFor(SLOW_START - SLOW_START / 3);
    assertWithin(fleet, 4, at, "a surge");
  }

  /**
   * While endpoints warm up, a tenth of the instances restart in each round, and all of them once.
   * A restarted engine has no state.
   */
  @ParameterizedTest
  @CsvSource({"1,4", "4,4", "30,4", "120,4", "1,40", "4,40", "30,40", "120,40"})
  void restartsOfInstancesStayWithinTheBudgets(int instances, int warming) {
    Fleet fleet = afterWarmUp(instances, 12, OFFERED_FRACTION, 3);
    long at = fleet.now;
    fleet.restartEndpoints(warming);
    for (int round = 0; round < 60; round++) {
      for (int b = 0; b < instances; b++) {
        if (round == 30 || (b + round) % 10 == 0) {
          fleet.restartInstance(b);
        }
      }
      fleet.runFor(SLOW_START / 60);
    }
    assertWithin(fleet, warming, at, "restarts");
  }
}
