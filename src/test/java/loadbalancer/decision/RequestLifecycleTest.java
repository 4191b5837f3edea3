package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.attemptedEndpoint;
import static loadbalancer.decision.EngineDriver.containsKind;
import static loadbalancer.decision.EngineDriver.idempotentSettings;
import static loadbalancer.decision.EngineDriver.readyEndpoint;
import static loadbalancer.decision.EngineDriver.requestClass;
import static loadbalancer.decision.EngineDriver.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.ResponseStarted;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.UpdateKind;
import org.junit.jupiter.api.Test;

/** Tests attempts, final answers, and the subscription to the endpoint list. */
class RequestLifecycleTest {

  /** Guards against requests that wait for an endpoint although none is listed. */
  @Test
  void rejectsRequestsAtOnceWithoutAnyEndpoint() {
    EngineDriver driver = new EngineDriver(idempotentSettings());
    driver.updateEndpoints(UpdateKind.CACHED);
    List<Action> actions = driver.request("r", "c", "k");
    assertTrue(containsKind(actions, RejectRequest.class));
    assertFalse(containsKind(actions, StartAttempt.class));
    driver.updateEndpoints(UpdateKind.FULL, readyEndpoint(1));
    assertTrue(containsKind(driver.request("next", "c", "k"), StartAttempt.class));
  }

  @Test
  void rejectsQueuedRequestsOnceTheLastEndpointIsGone() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(1);
    // A warming endpoint, so that requests are queued.
    driver.updateEndpoints(
        UpdateKind.FULL, new Endpoint(200, "a", 0, EndpointState.READY, driver.now, 1));
    int started = 0;
    String queued = null;
    while (queued == null) {
      String id = driver.nextRequestId();
      List<Action> actions = driver.request(id, "c", "k");
      if (containsKind(actions, StartAttempt.class)) {
        assertTrue(started++ < 100, "none is queued");
      } else if (!containsKind(actions, RejectRequest.class)) {
        queued = id;
      }
    }
    List<Action> actions = driver.updateEndpoints(UpdateKind.FULL);
    String queuedId = queued;
    assertTrue(
        actions.stream()
            .anyMatch(
                action ->
                    action instanceof RejectRequest rejection
                        && rejection.requestId().equals(queuedId)));
  }

  @Test
  void stopsAtTheAttemptLimitAndLeavesAnsweredRequestsAlone() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(12);
    long endpoint = attemptedEndpoint(driver.request("r", "c", "k"));
    int attempts = 0;
    while (endpoint >= 0) {
      attempts++;
      endpoint = attemptedEndpoint(driver.endAttempt("r", endpoint, AttemptStatus.REJECTED, MS));
    }
    assertEquals(4, attempts);
    assertFalse(containsKind(driver.advance(3000 * MS), StartAttempt.class));
  }

  /** Guards against a retry storm when every attempt fails. */
  @Test
  void retryBudgetKeepsRetriesAFractionOfTheRequests() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(12);
    int attempts = 0;
    for (int i = 0; i < 500; i++) {
      String id = driver.nextRequestId();
      long endpoint = attemptedEndpoint(driver.request(id, "c", "k" + i));
      while (endpoint >= 0) {
        attempts++;
        endpoint = attemptedEndpoint(driver.endAttempt(id, endpoint, AttemptStatus.REJECTED, MS));
      }
      driver.advance(MS);
    }
    assertTrue(attempts > 500 && attempts < 500 * 1.2 + 40, "attempts: " + attempts);
  }

  @Test
  void watchesTheEndpointListAgainAfterAFailure() {
    EngineDriver driver =
        new EngineDriver(
            settings(true, List.of(), requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL)));
    assertTrue(
        containsKind(
            driver.updateEndpoints(UpdateKind.CACHED, readyEndpoint(1)), WatchEndpoints.class));
    for (int i = 0; i < 8; i++) {
      driver.updateEndpoints(UpdateKind.FAILED);
      assertTrue(
          containsKind(driver.advance(1100 * MS), WatchEndpoints.class),
          "no watch within 1.1 s after a failure");
    }
    assertFalse(
        containsKind(
            driver.updateEndpoints(UpdateKind.FULL, readyEndpoint(1), readyEndpoint(2)),
            WatchEndpoints.class));
    assertFalse(
        containsKind(driver.advance(9000 * MS), WatchEndpoints.class), "watches a second time");
  }

  @Test
  void usesAnEndpointAgainAfterItsRestart() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(1);
    driver.updateEndpoints(UpdateKind.FULL);
    assertEquals(-1, driver.serve("k", MS));
    driver.updateEndpoints(
        UpdateKind.DELTA, new Endpoint(100, "a", 0, EndpointState.READY, driver.now, 1));
    driver.advance(2000 * MS);
    assertEquals(100, driver.serve("k", MS));
  }

  @Test
  void startedStreamHasNoDeadline() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(1);
    driver.request("r", "c", "k");
    driver.handle(new ResponseStarted("r", 0, 100, MS));
    List<Action> later = driver.advance(5000 * MS);
    assertTrue(
        later.stream()
            .noneMatch(
                a ->
                    a instanceof FailRequest
                        || a instanceof RejectRequest
                        || a instanceof StartAttempt));
  }
}
