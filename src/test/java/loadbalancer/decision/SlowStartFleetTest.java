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
   * Fewest attempts at warming endpoints as a fraction of those expected at as many warm ones. The
   * mean capacity of an endpoint during slow start is 0.57 of its full capacity.
   */
  private static final double MIN_ATTEMPT_FRACTION = 0.05;

  private static final long LATENCY = 60 * MS;
  private static final long START = 1_000 * SECOND;

  private static Settings settings(int instanceIndex, int instanceCount, double quota) {
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
        instanceCount,
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

    private record ScheduledTask(long dueAt, long sequence, LongConsumer task) {}

    final int instanceCount;

    /** The total of the quotas for one endpoint, in requests a second. */
    final double quota;

    final SplittableRandom random;
    final LoadBalancingEngine[] engines;
    final int[] incarnations;
    final double[] shares;
    final PriorityQueue<ScheduledTask> queue =
        new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::dueAt)
                .thenComparingLong(ScheduledTask::sequence));
    final List<Endpoint> endpointList = new ArrayList<>();
    final Map<Long, List<Long>> attempts = new HashMap<>();
    long now = START;
    long taskCount;
    int requestCount;
    double offeredFraction;

    Fleet(int instanceCount, double quota, double offeredFraction, long seed) {
      this.instanceCount = instanceCount;
      this.quota = quota;
      this.offeredFraction = offeredFraction;
      random = new SplittableRandom(seed);
      engines = new LoadBalancingEngine[instanceCount];
      incarnations = new int[instanceCount];
      shares = new double[instanceCount];
      double sum = 0;
      for (int instance = 0; instance < instanceCount; instance++) {
        shares[instance] = -Math.log(1 - random.nextDouble()) + 0.1;
        sum += shares[instance];
      }
      for (int instance = 0; instance < instanceCount; instance++) {
        shares[instance] /= sum;
      }
      for (int endpointIndex = 0; endpointIndex < ENDPOINTS; endpointIndex++) {
        endpointList.add(new Endpoint(100 + endpointIndex, "a", 0, EndpointState.READY, 0, 1));
      }
      for (int instance = 0; instance < instanceCount; instance++) {
        restartInstance(instance);
      }
      schedule(now, this::sendRequest);
    }

    void schedule(long when, LongConsumer task) {
      queue.add(new ScheduledTask(when, taskCount++, task));
    }

    /** Replaces an instance's engine by a new one, which knows only the endpoint list. */
    void restartInstance(int instance) {
      incarnations[instance]++;
      engines[instance] =
          new LoadBalancingEngine(settings(instance, instanceCount, quota), random.nextLong());
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
          attempts.computeIfAbsent(start.endpointId(), id -> new ArrayList<>()).add(now);
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
      while (instance < instanceCount - 1 && point > shares[instance]) {
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
      while (queue.peek().dueAt() <= end) {
        ScheduledTask due = queue.poll();
        now = due.dueAt();
        due.task().accept(now);
      }
      now = end;
    }

    /** Restarts the first endpoints of the list and notifies all instances. */
    void restartEndpoints(int warmingCount) {
      for (int endpointIndex = 0; endpointIndex < warmingCount; endpointIndex++) {
        endpointList.set(
            endpointIndex, new Endpoint(100 + endpointIndex, "a", 0, EndpointState.READY, now, 1));
      }
      for (int instance = 0; instance < instanceCount; instance++) {
        handle(instance, new EndpointListUpdate(UpdateKind.FULL, List.copyOf(endpointList)));
      }
    }

    /**
     * Returns by how many the attempts in the worst window exceed the budget plus a margin for
     * random variation.
     */
    double excess(int endpointIndex, long startedAt) {
      List<Long> times =
          attempts.getOrDefault(100L + endpointIndex, List.of()).stream()
              .filter(t -> t >= startedAt)
              .toList();
      double worstExcess = Double.NEGATIVE_INFINITY;
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
        worstExcess = Math.max(worstExcess, j - i - (budget + 2 * Math.sqrt(budget) + 2));
      }
      return worstExcess;
    }
  }

  private static Fleet runningFleet(
      int instanceCount, double quota, double offeredFraction, long seed) {
    Fleet fleet = new Fleet(instanceCount, quota, offeredFraction, seed);
    fleet.runFor(15 * SECOND);
    return fleet;
  }

  /**
   * Asserts that the attempts at each warming endpoint stay within its budget, and that the warming
   * endpoints get some.
   */
  private static void assertWithinBudgets(
      Fleet fleet, int warmingCount, long startedAt, String description) {
    String message =
        description
            + ", "
            + fleet.instanceCount
            + " instances, "
            + fleet.quota
            + " a second for each";
    long attempts = 0;
    for (int endpointIndex = 0; endpointIndex < warmingCount; endpointIndex++) {
      double excess = fleet.excess(endpointIndex, startedAt);
      assertTrue(excess <= 0, message + ": attempts beyond the budget: " + excess);
      attempts +=
          fleet.attempts.getOrDefault(100L + endpointIndex, List.of()).stream()
              .filter(t -> t >= startedAt)
              .count();
    }
    double attemptFraction =
        attempts
            / (warmingCount * fleet.quota * OFFERED_FRACTION * (fleet.now - startedAt) / SECOND);
    assertTrue(
        attemptFraction >= MIN_ATTEMPT_FRACTION,
        message + ": attempts at them " + attemptFraction + " of those at warm ones");
  }

  @ParameterizedTest
  @CsvSource({
    "1,1", "1,13", "1,40", "4,1", "4,13", "4,40", "30,1", "30,13", "30,40", "120,1", "120,13",
    "120,40"
  })
  void attemptsOfAllInstancesStayWithinTheBudgets(int instanceCount, int warmingCount) {
    for (double quota : new double[] {1.5, 4, 12}) {
      for (double offeredFraction : new double[] {OFFERED_FRACTION, SURGE_FRACTION}) {
        Fleet fleet = runningFleet(instanceCount, quota, offeredFraction, 1);
        long restartedAt = fleet.now;
        fleet.restartEndpoints(warmingCount);
        fleet.runFor(SLOW_START);
        assertWithinBudgets(
            fleet,
            warmingCount,
            restartedAt,
            warmingCount + " warming, offered " + offeredFraction);
      }
    }
  }

  /**
   * When traffic rises from a tenth of the usual to a surge, the instances must not spend at once
   * the slow-start tokens that they saved during the light traffic.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 4, 30, 120})
  void aSurgeAfterLightTrafficStaysWithinTheBudgets(int instanceCount) {
    Fleet fleet = runningFleet(instanceCount, 12, OFFERED_FRACTION, 2);
    fleet.offeredFraction = OFFERED_FRACTION / 10;
    long restartedAt = fleet.now;
    fleet.restartEndpoints(4);
    fleet.runFor(SLOW_START / 3);
    fleet.offeredFraction = SURGE_FRACTION;
    fleet.runFor(SLOW_START - SLOW_START / 3);
    assertWithinBudgets(fleet, 4, restartedAt, "a surge");
  }

  /**
   * While endpoints warm up, a tenth of the instances restart in each round, and all of them once.
   * A restarted engine has no state.
   */
  @ParameterizedTest
  @CsvSource({"1,4", "4,4", "30,4", "120,4", "1,40", "4,40", "30,40", "120,40"})
  void restartsOfInstancesStayWithinTheBudgets(int instanceCount, int warmingCount) {
    Fleet fleet = runningFleet(instanceCount, 12, OFFERED_FRACTION, 3);
    long restartedAt = fleet.now;
    fleet.restartEndpoints(warmingCount);
    for (int round = 0; round < 60; round++) {
      for (int instance = 0; instance < instanceCount; instance++) {
        if (round == 30 || (instance + round) % 10 == 0) {
          fleet.restartInstance(instance);
        }
      }
      fleet.runFor(SLOW_START / 60);
    }
    assertWithinBudgets(fleet, warmingCount, restartedAt, "restarts");
  }
}
