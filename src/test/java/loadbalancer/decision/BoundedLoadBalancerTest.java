package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.attemptedEndpoint;
import static loadbalancer.decision.EngineDriver.idempotentSettings;
import static loadbalancer.decision.EngineDriver.readyEndpoint;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.UpdateKind;
import org.junit.jupiter.api.Test;

/** Tests consistent hashing with bounded loads: spread, capacity, zones and key affinity. */
class BoundedLoadBalancerTest {

  private static Map<String, Long> owners(EngineDriver driver, int keys) {
    Map<String, Long> owners = new HashMap<>();
    for (int i = 0; i < keys; i++) {
      owners.put("k" + i, driver.serve("k" + i, MS));
    }
    return owners;
  }

  /** Returns how many of 30 simultaneous requests with a work hint start at one usual endpoint. */
  private static int startedAtOnce(long hint) {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(1);
    for (int i = 0; i < 500; i++) {
      driver.request(driver.nextRequestId(), "c", null, "k" + i % 10, 20 * MS);
      driver.advanceEndingAttempts(20 * MS, AttemptStatus.SUCCESS, 20 * MS);
    }
    int started = 0;
    for (int i = 0; i < 30; i++) {
      started +=
          attemptedEndpoint(driver.request(driver.nextRequestId(), "c", null, "k" + i, hint)) >= 0
              ? 1
              : 0;
    }
    return started;
  }

  /** Returns how many of 30 simultaneous requests start after one with an odd work hint. */
  private static int startedAtOnceAfter(long oddHint) {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(1);
    for (int i = 0; i < 500; i++) {
      driver.request(driver.nextRequestId(), "c", null, "k" + i % 10, i == 495 ? oddHint : 20 * MS);
      driver.advanceEndingAttempts(20 * MS, AttemptStatus.SUCCESS, 20 * MS);
    }
    int started = 0;
    for (int i = 0; i < 30; i++) {
      started +=
          attemptedEndpoint(driver.request(driver.nextRequestId(), "c", null, "k" + i, 20 * MS))
                  >= 0
              ? 1
              : 0;
    }
    return started;
  }

  @Test
  void oneHugeWorkHintDoesNotMakeTheOthersLight() {
    int startedAfterUsualHint = startedAtOnceAfter(20 * MS);
    assertEquals(
        startedAfterUsualHint,
        startedAtOnceAfter(1_000_000_000_000_000L),
        Math.floorDiv(startedAfterUsualHint, 2));
  }

  @Test
  void spreadsKeysAndMigratesOnlyThoseOfAChangedEndpoint() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(10);
    Map<String, Long> before = owners(driver, 2000);
    Map<Long, Integer> counts = new HashMap<>();
    before.values().forEach(u -> counts.merge(u, 1, Integer::sum));
    assertEquals(10, counts.size());
    counts
        .values()
        .forEach(n -> assertTrue(n > 120 && n < 300, "keys of one endpoint of ten: " + n));
    driver.updateEndpoints(UpdateKind.DELTA, new Endpoint(103, "a", 0, EndpointState.GONE, 0, 1));
    Map<String, Long> after = owners(driver, 2000);
    before.forEach(
        (key, owner) -> {
          if (owner == 103) {
            assertNotEquals(103L, after.get(key));
          } else {
            assertEquals(owner, after.get(key));
          }
        });
  }

  @Test
  void spreadsAHotKeyByTheLoadBound() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(5);
    Map<Long, Integer> inFlight = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      long to = attemptedEndpoint(driver.request(driver.nextRequestId(), "c", "hot"));
      inFlight.merge(to, 1, Integer::sum);
      int bound = Math.max(2, (int) Math.ceil(2.0 * (i + 1) / 5));
      assertTrue(
          inFlight.get(to) <= bound, "in flight " + inFlight.get(to) + " of a bound of " + bound);
    }
    assertTrue(inFlight.size() >= 3);
  }

  @Test
  void startsNoAttemptAtADrainingOrGoneEndpoint() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(3);
    driver.updateEndpoints(
        UpdateKind.DELTA, new Endpoint(100, "a", 0, EndpointState.DRAINING, 0, 1));
    driver.updateEndpoints(
        UpdateKind.FULL,
        new Endpoint(100, "a", 0, EndpointState.DRAINING, 0, 1),
        readyEndpoint(102));
    for (int i = 0; i < 200; i++) {
      assertEquals(102, driver.serve("k" + i, MS));
    }
  }

  @Test
  void keysLeaveAZoneWhoseEndpointsAreFull() {
    EngineDriver driver = new EngineDriver(idempotentSettings());
    Endpoint[] entries = new Endpoint[8];
    for (int i = 0; i < 8; i++) {
      entries[i] = new Endpoint(100 + i, i < 4 ? "a" : "b", i, EndpointState.READY, 0, 1);
    }
    driver.updateEndpoints(UpdateKind.CACHED, entries);
    int[] remote = new int[2];
    for (int half = 0; half < 2; half++) {
      for (int i = 0; i < 600; i++) {
        String id = driver.nextRequestId();
        long to = attemptedEndpoint(driver.request(id, "c", "k" + i));
        remote[half] += to >= 104 ? 1 : 0;
        while (to >= 0) {
          boolean isFull = half == 1 && to < 104;
          driver.advance(20 * MS);
          to =
              attemptedEndpoint(
                  driver.endAttempt(
                      id, to, isFull ? AttemptStatus.REJECTED : AttemptStatus.SUCCESS, 20 * MS));
        }
      }
    }
    assertEquals(0, remote[0], "attempts elsewhere, although all should stay");
    assertTrue(remote[1] > 150, "attempts elsewhere, of those that should leave: " + remote[1]);
  }

  /** Requests wait in the instance's queue, ordered by priority, and not in an endpoint's queue. */
  @Test
  void queuesPastTheCapacityOfAnEndpointAndRejectsEarly() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(1);
    for (int i = 0; i < 200; i++) {
      driver.serve("k" + i % 10, 20 * MS);
    }
    int started = 0;
    for (int i = 0; i < 60; i++) {
      started +=
          attemptedEndpoint(driver.request(driver.nextRequestId(), "c", "k" + i)) >= 0 ? 1 : 0;
    }
    assertTrue(started >= 2 && started <= 12, "started at once: " + started);
    long rejected =
        driver.advance(170 * MS).stream().filter(a -> a instanceof RejectRequest).count();
    assertTrue(rejected > 30, "rejected within 0.43 of the objective: " + rejected);
  }

  /** Guards against a capacity so low that requests queue for an endpoint without a queue. */
  @Test
  void healthyEndpointHasCapacityForWhatItServes() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(1);
    int notStarted = 0;
    for (int i = 0; i < 600; i++) {
      notStarted +=
          attemptedEndpoint(driver.request(driver.nextRequestId(), "c", "k" + i % 10)) >= 0 ? 0 : 1;
      driver.advanceEndingAttempts(10 * MS, AttemptStatus.SUCCESS, 170 * MS);
    }
    assertEquals(0, notStarted, "queued or rejected, at a latency of 0.43 of the objective");
  }

  /**
   * With less than one request in flight at each endpoint, a load bound of 1 would send the second
   * request to another endpoint.
   */
  @Test
  void sendsTwoRequestsOfAKeyToOneEndpointInALargeFleet() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(60);
    for (int i = 0; i < 300; i++) {
      driver.serve("k" + i, 10 * MS);
    }
    for (int i = 0; i < 20; i++) {
      long first = attemptedEndpoint(driver.request(driver.nextRequestId(), "c", "twice" + i));
      assertEquals(
          first, attemptedEndpoint(driver.request(driver.nextRequestId(), "c", "twice" + i)));
      driver.advanceEndingAttempts(20 * MS, AttemptStatus.SUCCESS, 10 * MS);
    }
  }

  /** Guards against overload by a few heavy requests, whose number alone looks harmless. */
  @Test
  void heavyWorkHintsTakeMoreOfTheCapacity() {
    int light = startedAtOnce(20 * MS);
    int heavy = startedAtOnce(80 * MS);
    assertTrue(
        light >= 4 && heavy <= light / 2, "started at once: light " + light + ", heavy " + heavy);
  }

  /** Each endpoint that serves a key for the first time has extra work, which adds to a surge. */
  @Test
  void keepsAKeyOnFewEndpointsDuringASurge() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(12);
    Map<String, Set<Long>> endpointsOfKey = new HashMap<>();
    for (int i = 0; i < 4000; i++) {
      String key = "k" + i % 60;
      long to = attemptedEndpoint(driver.request(driver.nextRequestId(), "c", key));
      if (to >= 0) {
        endpointsOfKey.computeIfAbsent(key, k -> new HashSet<>()).add(to);
      }
      driver.advanceEndingAttempts(MS, AttemptStatus.SUCCESS, 200 * MS);
    }
    double mean = endpointsOfKey.values().stream().mapToInt(Set::size).average().getAsDouble();
    assertTrue(mean <= 3.5, "endpoints of a key: " + mean);
  }
}
