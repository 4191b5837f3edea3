package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.attemptedEndpoint;
import static loadbalancer.decision.EngineDriver.containsKind;
import static loadbalancer.decision.EngineDriver.idempotentSettings;
import static loadbalancer.decision.EngineDriver.requestClass;
import static loadbalancer.decision.EngineDriver.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Idempotence;
import org.junit.jupiter.api.Test;

/** Tests the detection of ejected, silent, unreliable and slow endpoints. */
class OutlierDetectorTest {

  private static Map<String, Long> owners(EngineDriver driver, int keys) {
    Map<String, Long> owners = new HashMap<>();
    for (int i = 0; i < keys; i++) {
      owners.put("k" + i, driver.serve("k" + i, MS));
    }
    return owners;
  }

  /**
   * An endpoint that gets about one attempt a second and fails every other one never fails three
   * times in a row, so it is not ejected.
   */
  @Test
  void avoidsUnreliableEndpointsForNonIdempotentRequests() {
    EngineDriver driver =
        new EngineDriver(
                settings(
                    false,
                    List.of(),
                    requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL),
                    requestClass("u", Idempotence.NON_IDEMPOTENT, DedupScope.ALL)))
            .withEndpoints(6);
    int attemptsAtUnreliable = 0;
    int failedNonIdempotent = 0;
    for (int i = 0; i < 900; i++) {
      boolean nonIdempotent = i % 3 == 0;
      String id = driver.nextRequestId();
      long endpoint = attemptedEndpoint(driver.request(id, nonIdempotent ? "u" : "c", "k" + i));
      driver.advance(5 * MS);
      boolean failing = endpoint == 103 && attemptsAtUnreliable++ % 2 == 0;
      failedNonIdempotent += failing && nonIdempotent && i > 100 ? 1 : 0;
      long retryEndpoint =
          attemptedEndpoint(
              driver.endAttempt(
                  id, endpoint, failing ? AttemptStatus.ERROR : AttemptStatus.SUCCESS, 5 * MS));
      if (retryEndpoint >= 0) {
        driver.endAttempt(id, retryEndpoint, AttemptStatus.SUCCESS, 5 * MS);
      }
      driver.advance(100 * MS);
    }
    assertTrue(
        attemptsAtUnreliable > 20,
        "attempts at it by requests that may be repeated: " + attemptsAtUnreliable);
    assertEquals(0, failedNonIdempotent, "non-idempotent attempts that failed at it");
  }

  /** An endpoint froze, and no attempt at it has timed out yet. */
  @Test
  void avoidsASilentEndpointAndHedgesItsRequest() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(4);
    for (int i = 0; i < 400; i++) {
      driver.serve("k" + i % 40, 10 * MS);
    }
    long frozen = driver.serve("k1", 10 * MS);
    String id = driver.nextRequestId();
    assertEquals(frozen, attemptedEndpoint(driver.request(id, "c", "k1")));
    List<Action> later = driver.advance(200 * MS);
    List<StartAttempt> hedges =
        later.stream().filter(a -> a instanceof StartAttempt).map(a -> (StartAttempt) a).toList();
    assertEquals(1, hedges.size(), "hedges");
    assertEquals(id, hedges.get(0).requestId());
    assertNotEquals(frozen, hedges.get(0).endpointId());
    assertNotEquals(frozen, driver.serve("k1", 10 * MS));
    List<Action> end =
        driver.endAttempt(id, hedges.get(0).endpointId(), AttemptStatus.SUCCESS, 10 * MS);
    assertTrue(containsKind(end, CancelAttempt.class), "the slower attempt is not cancelled");
  }

  /** If few quick responses set the mean gap, a heavier request would look like silence. */
  @Test
  void endpointsWithFewResponsesAreNotSilent() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(4);
    for (int i = 0; i < 3; i++) {
      driver.serve("k1", 2 * MS);
    }
    driver.request(driver.nextRequestId(), "c", "k1");
    assertTrue(
        driver.advance(300 * MS).stream().noneMatch(a -> a instanceof StartAttempt),
        "unexpected hedge");
  }

  /** Keys leave an endpoint that hangs before its attempts time out, which may be seconds later. */
  @Test
  void attemptPastItsObjectiveMakesItsEndpointSlow() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(4);
    for (int i = 0; i < 100; i++) {
      driver.serve("k" + i, 20 * MS);
    }
    Map<String, Long> before = owners(driver, 100);
    before.forEach(
        (key, owner) -> {
          if (owner == 100 && driver.inFlight.size() < 3) {
            driver.request(driver.nextRequestId(), "c", key);
          }
        });
    driver.advance(900 * MS);
    long keysKept = owners(driver, 100).values().stream().filter(id -> id == 100).count();
    long keysBefore = before.values().stream().filter(id -> id == 100).count();
    assertTrue(
        keysKept < 0.7 * keysBefore,
        "keys kept before any time-out: " + keysKept + " of " + keysBefore);
  }

  /** Without ejection, an endpoint that fails fast would look idle and attract requests. */
  @Test
  void ejectsAfterThreeFailuresInARowAndTriesAgain() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(6);
    for (int i = 0; i < 200; i++) {
      driver.serve("k" + i, MS);
    }
    long failingEndpoint = driver.serve("k0", MS);
    int failuresAtBad = 0;
    for (int i = 0; i < 100; i++) {
      String id = driver.nextRequestId();
      long endpoint = attemptedEndpoint(driver.request(id, "c", "k0"));
      while (endpoint == failingEndpoint) {
        failuresAtBad++;
        endpoint =
            attemptedEndpoint(
                driver.endAttempt(id, failingEndpoint, AttemptStatus.CONNECT_FAILED, MS));
      }
      driver.advance(MS);
      driver.endAttempt(id, endpoint, AttemptStatus.SUCCESS, MS);
    }
    assertEquals(3, failuresAtBad, "failures before the ejection");
    driver.advance(600 * MS);
    assertEquals(failingEndpoint, driver.serve("k0", MS), "first attempt after the ejection");
    assertEquals(failingEndpoint, driver.serve("k0", MS), "second attempt after the ejection");
  }

  /**
   * With less than one request in flight at each endpoint, no load bound shows that an endpoint is
   * slow.
   */
  @Test
  void slowEndpointRetainsPartOfItsKeysAndRegainsThem() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(6);
    Map<String, Long> before = owners(driver, 300);
    for (int i = 0; i < 900; i++) {
      String id = driver.nextRequestId();
      long endpoint = attemptedEndpoint(driver.request(id, "c", "k" + i % 300));
      driver.advance(endpoint == 100 ? 150 * MS : 30 * MS);
      driver.endAttempt(id, endpoint, AttemptStatus.SUCCESS, endpoint == 100 ? 150 * MS : 30 * MS);
      List.copyOf(driver.inFlight)
          .forEach(hedge -> driver.endAttempt(hedge, AttemptStatus.CANCELLED, 0));
    }
    long keysKept =
        owners(driver, 300).entrySet().stream().filter(owner -> owner.getValue() == 100).count();
    long keysBefore = before.values().stream().filter(id -> id == 100).count();
    assertTrue(
        keysKept > 0 && keysKept < 0.6 * keysBefore,
        "keys kept: " + keysKept + " of " + keysBefore);
    driver.advance(60_000 * MS);
    long keysRegained = owners(driver, 300).values().stream().filter(id -> id == 100).count();
    assertTrue(
        keysRegained > 0.9 * keysBefore,
        "keys regained after a minute: " + keysRegained + " of " + keysBefore);
  }
}
