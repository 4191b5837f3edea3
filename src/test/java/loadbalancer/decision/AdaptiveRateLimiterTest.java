package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.idempotentSettings;
import static loadbalancer.decision.EngineDriver.requestClass;
import static loadbalancer.decision.EngineDriver.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.Tenant;
import org.junit.jupiter.api.Test;

/** Tests the allowed rate by mean latency, the latencies that count, and the exceptions. */
class AdaptiveRateLimiterTest {

  private static double allowedRate(double meanMs) {
    return AdaptiveRateLimiter.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  /**
   * Sends requests at the rate that keeps the given number in flight, ends every attempt after the
   * latency, and returns the fraction of requests that were rejected.
   */
  private static double rejectedShare(
      EngineDriver driver, int requests, int inFlight, long latency, AttemptStatus status) {
    return rejectedShare(driver, null, requests, inFlight, latency, status);
  }

  private static double rejectedShare(
      EngineDriver driver,
      String tenant,
      int requests,
      int inFlight,
      long latency,
      AttemptStatus status) {
    driver.rejections.clear();
    for (int i = 0; i < requests; i++) {
      driver.request(driver.nextRequestId(), "c", tenant, "k" + i % 50, 0);
      driver.advanceEndingAttempts(latency / inFlight, status, latency);
    }
    return driver.rejections.getOrDefault("r", 0) / (double) requests;
  }

  @Test
  void allowedRateMatchesThePublishedFigures() {
    assertEquals(240, allowedRate(0));
    assertEquals(240, allowedRate(300));
    assertEquals(177.3, allowedRate(5000), 0.1);
    assertEquals(122, allowedRate(9150), 0.001);
    assertEquals(4, allowedRate(18_000));
    assertEquals(4, allowedRate(99_000));
  }

  private static EngineDriver fiveEndpoints() {
    return new EngineDriver(idempotentSettings()).withEndpoints(5);
  }

  @Test
  void admitsEverythingWhileTheFleetIsHealthy() {
    assertEquals(0, rejectedShare(fiveEndpoints(), 500, 5, 40 * MS, AttemptStatus.SUCCESS));
  }

  @Test
  void rejectsWhenAllowedRateIsReached() {
    EngineDriver driver = fiveEndpoints();
    rejectedShare(driver, 300, 2, 40 * MS, AttemptStatus.SUCCESS);
    assertTrue(rejectedShare(driver, 600, 30, 700 * MS, AttemptStatus.SUCCESS) > 0.2);
  }

  /** A client's retry after the latency objective is worthless and displaces other requests. */
  @Test
  void retryAfterIsSpreadOverATenthOfTheLatencyObjective() {
    EngineDriver driver = fiveEndpoints();
    rejectedShare(driver, 600, 30, 700 * MS, AttemptStatus.SUCCESS);
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      for (Action action : driver.request(driver.nextRequestId(), "c", "k" + i % 50)) {
        if (action instanceof RejectRequest rejection) {
          waits.add(rejection.retryAfterNanos());
        }
      }
      driver.advanceEndingAttempts(700 / 30 * MS, AttemptStatus.SUCCESS, 700 * MS);
    }
    assertTrue(waits.size() > 50, "rejected: " + waits.size());
    waits.forEach(
        wait ->
            assertTrue(wait <= 40 * MS, "advised wait in ns, for an objective of 400 ms: " + wait));
    assertTrue(
        waits.stream().distinct().count() > waits.size() / 2,
        "not spread, so all clients come back at once");
  }

  /**
   * Clients with short deadlines must not cause the ejection of healthy endpoints, nor the
   * rejection of other requests.
   */
  @Test
  void timeOutsBeforeTheLatencyObjectiveCountAgainstNoEndpoint() {
    EngineDriver driver = fiveEndpoints();
    EngineDriver.InFlightAttempt timedOut = null;
    for (int i = 0; i < 500; i++) {
      driver.serve("k" + i % 50, 40 * MS);
      driver.handle(
          new RequestArrived("h" + i, "c", null, "k" + i % 50, driver.now + 150 * MS, 0, false));
      driver.advance(150 * MS);
      for (EngineDriver.InFlightAttempt attempt : List.copyOf(driver.inFlight)) {
        timedOut = attempt;
        driver.endAttempt(attempt, AttemptStatus.TIMEOUT, 150 * MS);
      }
    }
    assertNotNull(timedOut, "no attempt was started");
    assertEquals(
        0, driver.rejections.getOrDefault("r", 0), "rejections of those with the usual deadline");
  }

  /** A slow dependency raises latencies without an overload that this instance could relieve. */
  @Test
  void admitsRequestsWithinAQuotaWhileNoMoreThanUsualIsInFlight() {
    EngineDriver driver =
        new EngineDriver(
                settings(
                    false,
                    List.of(new Tenant("t", 1, 1000)),
                    requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL)))
            .withEndpoints(5);
    rejectedShare(driver, "t", 2000, 10, 40 * MS, AttemptStatus.SUCCESS);
    assertEquals(0, rejectedShare(driver, "t", 300, 4, 390 * MS, AttemptStatus.SUCCESS), 0.02);
  }

  /**
   * Guards against a mean load that starts at 0: after a start it would be half the real load, and
   * requests within a quota would be rejected.
   */
  @Test
  void learnsTheUsualLoadSoonAfterAStart() {
    EngineDriver driver =
        new EngineDriver(
                settings(
                    false,
                    List.of(new Tenant("t", 1, 1000)),
                    requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL)))
            .withEndpoints(40);
    rejectedShare(driver, "t", 250, 20, 80 * MS, AttemptStatus.SUCCESS);
    assertEquals(0, rejectedShare(driver, "t", 300, 15, 390 * MS, AttemptStatus.SUCCESS));
  }

  /**
   * If the fleet is overloaded from the start, it has no load of a healthy time to compare with.
   */
  @Test
  void rejectsWithinAQuotaWhereTheFleetWasNeverHealthy() {
    EngineDriver driver =
        new EngineDriver(
                settings(
                    false,
                    List.of(new Tenant("t", 1, 1000)),
                    requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL)))
            .withEndpoints(40);
    assertTrue(rejectedShare(driver, "t", 300, 10, 390 * MS, AttemptStatus.SUCCESS) > 0.2);
  }

  /** Otherwise a fleet that collapsed would get no relief. */
  @Test
  void rejectsWithoutQuotasThoughFewAreInFlight() {
    EngineDriver driver = fiveEndpoints();
    rejectedShare(driver, 2000, 10, 40 * MS, AttemptStatus.SUCCESS);
    assertTrue(rejectedShare(driver, 300, 4, 390 * MS, AttemptStatus.SUCCESS) > 0.2);
  }

  /** The low latencies of quick failures must not lower the mean latency. */
  @Test
  void quickFailuresDoNotKeepTheRateAtItsMaximum() {
    EngineDriver driver = fiveEndpoints();
    double rejected = rejectedShare(driver, 800, 10, 2 * MS, AttemptStatus.ERROR);
    assertTrue(rejected > 0.3, "rejected " + rejected);
  }

  /** If one attempt in eight is reset at once, other endpoints can still serve the requests. */
  @Test
  void resetsDoNotCountAsTheWholeDeadline() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(6);
    for (int i = 0; i < 1000; i++) {
      driver.request(driver.nextRequestId(), "c", "k" + i % 20);
      if (i % 8 == 0 && !driver.inFlight.isEmpty()) {
        driver.endAttempt(driver.inFlight.get(driver.inFlight.size() - 1), AttemptStatus.RESET, MS);
      }
      driver.advanceEndingAttempts(10 * MS, AttemptStatus.SUCCESS, 10 * MS);
    }
    int rejected = driver.rejections.values().stream().mapToInt(n -> n).sum();
    assertTrue(rejected < 50, "rejected: " + rejected);
  }
}
