package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.attemptedEndpoint;
import static loadbalancer.decision.EngineDriver.requestClass;
import static loadbalancer.decision.EngineDriver.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.UpdateKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests where a request may be attempted again, and which final answer it gets otherwise. */
class IdempotencePolicyTest {

  private static final long FIRST_ENDPOINT = 1;

  /**
   * Returns a driver with a request in flight at endpoint 1 (zone a, cell 1) and with further ready
   * endpoints: 2 is in the same cell, 3 in the same zone, 4 in another zone.
   */
  private static EngineDriver driverAfterFirstAttempt(
      Idempotence idempotence, DedupScope scope, long... ids) {
    EngineDriver driver =
        new EngineDriver(settings(false, List.of(), requestClass("c", idempotence, scope)));
    driver.updateEndpoints(
        UpdateKind.CACHED, new Endpoint(FIRST_ENDPOINT, "a", 1, EndpointState.READY, 0, 1));
    List<Endpoint> others = new ArrayList<>();
    for (long id : ids) {
      others.add(
          new Endpoint(id, id == 4 ? "b" : "a", id == 2 ? 1 : (int) id, EndpointState.READY, 0, 1));
    }
    driver.request("r", "c", "k");
    driver.updateEndpoints(UpdateKind.DELTA, others.toArray(new Endpoint[0]));
    return driver;
  }

  @ParameterizedTest
  @CsvSource({
    // idempotence, dedup scope, status, endpoints that may get the next attempt, final answer
    // without another attempt
    "IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, CONNECT_FAILED, 2 3 4, RejectRequest",
    "IDEMPOTENT, ALL, ERROR, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, RESET, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, TIMEOUT, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, NOT_SENT, 2 3 4, RejectRequest",
    "NON_IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest",
    "NON_IDEMPOTENT, ALL, CONNECT_FAILED, 2 3 4, RejectRequest",
    "NON_IDEMPOTENT, ALL, NOT_SENT, 2 3 4, RejectRequest",
    "NON_IDEMPOTENT, ALL, ERROR, '', FailRequest",
    "NON_IDEMPOTENT, ALL, RESET, '', FailRequest",
    "NON_IDEMPOTENT, ALL, TIMEOUT, '', FailRequest",
    "NON_IDEMPOTENT, ALL, CANCELLED, '', FailRequest",
    "IDEMPOTENCY_KEY, ALL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ALL, ERROR, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ALL, RESET, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ALL, TIMEOUT, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ALL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ZONE, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ZONE, CONNECT_FAILED, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ZONE, ERROR, 2 3, FailRequest",
    "IDEMPOTENCY_KEY, ZONE, RESET, 2 3, FailRequest",
    "IDEMPOTENCY_KEY, ZONE, TIMEOUT, 2 3, FailRequest",
    "IDEMPOTENCY_KEY, ZONE, CANCELLED, 2 3, FailRequest",
    "IDEMPOTENCY_KEY, CELL, REJECTED, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, CELL, NOT_SENT, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, CELL, ERROR, 2, FailRequest",
    "IDEMPOTENCY_KEY, CELL, RESET, 2, FailRequest",
    "IDEMPOTENCY_KEY, CELL, TIMEOUT, 2, FailRequest",
    "IDEMPOTENCY_KEY, CELL, CANCELLED, 2, FailRequest"
  })
  void retriesOnlyWhereARequestCannotTakeEffectTwice(
      Idempotence idempotence,
      DedupScope scope,
      AttemptStatus status,
      String allowedEndpoints,
      String finalAnswer) {
    for (long other = 2; other <= 4; other++) {
      EngineDriver driver = driverAfterFirstAttempt(idempotence, scope, other);
      List<Action> next = driver.endAttempt("r", FIRST_ENDPOINT, status, MS);
      assertEquals(
          allowedEndpoints.contains("" + other) ? other : -1,
          attemptedEndpoint(next),
          "attempted at " + other);
    }
    EngineDriver alone = driverAfterFirstAttempt(idempotence, scope);
    alone.updateEndpoints(UpdateKind.FULL);
    List<Action> last = new ArrayList<>(alone.endAttempt("r", FIRST_ENDPOINT, status, MS));
    last.addAll(alone.advance(2000 * MS));
    List<Action> finals =
        last.stream().filter(a -> a instanceof RejectRequest || a instanceof FailRequest).toList();
    assertEquals(1, finals.size());
    assertEquals(finalAnswer, finals.get(0).getClass().getSimpleName());
  }

  @Test
  void doesNotRetryPastTheDedupWindow() {
    EngineDriver driver =
        driverAfterFirstAttempt(Idempotence.IDEMPOTENCY_KEY, DedupScope.ALL, 2, 3);
    driver.advance(1999 * MS);
    assertEquals(
        -1,
        attemptedEndpoint(driver.endAttempt("r", FIRST_ENDPOINT, AttemptStatus.ERROR, 1999 * MS)));
  }
}
