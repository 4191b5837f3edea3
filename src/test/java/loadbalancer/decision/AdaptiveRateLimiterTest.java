package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.idempotentOnly;
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

/** The line from mean latency to allowed rate, what it is fed with, and its exceptions. */
class AdaptiveRateLimiterTest {

  private static double published(double meanMs) {
    return AdaptiveRateLimiter.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  /**
   * Sends requests with a fixed number in flight, each response after the latency; the share
   * rejected.
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
      driver.completeFor(latency / inFlight, status, latency);
    }
    return driver.rejections.getOrDefault("r", 0) / (double) requests;
  }

  @Test
  void allowedRateMatchesThePublishedFigures() {
    assertEquals(240, published(0));
    assertEquals(240, published(300));
    assertEquals(177.3, published(5000), 0.1);
    assertEquals(122, published(9150), 0.001);
    assertEquals(4, published(18_000));
    assertEquals(4, published(99_000));
  }

  private static EngineDriver fiveEndpoints() {
    return new EngineDriver(idempotentOnly()).withEndpoints(5);
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

  /** A retry past the latency objective earns nothing and crowds out others. */
  @Test
  void retryAfterIsSpreadOverATenthOfTheLatencyObjective() {
    EngineDriver driver = fiveEndpoints();
    rejectedShare(driver, 600, 30, 700 * MS, AttemptStatus.SUCCESS);
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      for (Action action : driver.request(driver.nextRequestId(), "c", "k" + i % 50)) {
        if (action instanceof RejectRequest refuse) {
          waits.add(refuse.retryAfterNanos());
        }
      }
      driver.completeFor(700 / 30 * MS, AttemptStatus.SUCCESS, 700 * MS);
    }
    assertTrue(waits.size() > 50, "rejected: " + waits.size());
    waits.forEach(wait -> assertTrue(wait <= 40 * MS, "of an objective of 400 ms: " + wait));
    assertTrue(
        waits.stream().distinct().count() > waits.size() / 2, "spread, or all come back at once");
  }

  /** Such clients had healthy endpoints ejected, and the requests of all others rejected. */
  @Test
  void timeOutsBeforeTheLatencyObjectiveCountAgainstNoEndpoint() {
    EngineDriver driver = fiveEndpoints();
    EngineDriver.InFlightAttempt impatient = null;
    for (int i = 0; i < 500; i++) {
      driver.serve("k" + i % 50, 40 * MS);
      driver.handle(
          new RequestArrived("h" + i, "c", null, "k" + i % 50, driver.now + 150 * MS, 0, false));
      driver.advance(150 * MS);
      for (EngineDriver.InFlightAttempt attempt : List.copyOf(driver.inFlight)) {
        impatient = attempt;
        driver.endAttempt(attempt, AttemptStatus.TIMEOUT, 150 * MS);
      }
    }
    assertNotNull(impatient, "no attempt was started");
    assertEquals(0, driver.rejections.getOrDefault("r", 0), "of those that wait");
  }

  /** A slow dependency is no overload of this instance's making. */
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

  /** A mean that began at 0 took half of the usual load for all of it, and rejected requests. */
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

  /** An overload from the first second on leaves no usual load to compare with. */
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

  /** A fleet that collapsed would get no relief otherwise. */
  @Test
  void rejectsWithoutQuotasThoughFewAreInFlight() {
    EngineDriver driver = fiveEndpoints();
    rejectedShare(driver, 2000, 10, 40 * MS, AttemptStatus.SUCCESS);
    assertTrue(rejectedShare(driver, 300, 4, 390 * MS, AttemptStatus.SUCCESS) > 0.2);
  }

  /** Their latencies would pull the mean down. */
  @Test
  void quickFailuresDoNotKeepTheRateAtItsMaximum() {
    EngineDriver driver = fiveEndpoints();
    double rejected = rejectedShare(driver, 800, 10, 2 * MS, AttemptStatus.ERROR);
    assertTrue(rejected > 0.3, "rejected " + rejected);
  }

  /** One attempt in eight that is reset at once is no overload: others can do the work. */
  @Test
  void resetsDoNotCountAsTheWholeDeadline() {
    EngineDriver driver = new EngineDriver(idempotentOnly()).withEndpoints(6);
    for (int i = 0; i < 1000; i++) {
      driver.request(driver.nextRequestId(), "c", "k" + i % 20);
      if (i % 8 == 0 && !driver.inFlight.isEmpty()) {
        driver.endAttempt(driver.inFlight.get(driver.inFlight.size() - 1), AttemptStatus.RESET, MS);
      }
      driver.completeFor(10 * MS, AttemptStatus.SUCCESS, 10 * MS);
    }
    int rejected = driver.rejections.values().stream().mapToInt(n -> n).sum();
    assertTrue(rejected < 50, "rejected: " + rejected);
  }
}
