package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What may follow an attempt: each effect, outcome and dedup scope, with the expectation written out. */
class ServiceContractTest {

  private static final long FIRST = 1;

  /** Upstream 1 (zone a, cell 1), 2 (same cell), 3 (same zone), 4 (elsewhere). */
  private static EngineDriver fleet(Idempotence effect, DedupScope scope, long... ids) {
    EngineDriver d = new EngineDriver(EngineDriver.settings(false, List.of(), EngineDriver.type("c", effect, scope)));
    d.list(UpdateKind.CACHED, new Endpoint(FIRST, "a", 1, EndpointState.READY, 0, 1));
    List<Endpoint> others = new ArrayList<>();
    for (long id : ids) {
      others.add(new Endpoint(id, id == 4 ? "b" : "a", id == 2 ? 1 : (int) id, EndpointState.READY, 0, 1));
    }
    d.request("r", "c", "k");
    d.list(UpdateKind.DELTA, others.toArray(new Endpoint[0]));
    return d;
  }

  @ParameterizedTest
  @CsvSource({
    // effect, scope, outcome, upstreams that may get the next attempt, final answer where there is none
    "IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest", "IDEMPOTENT, CELL, CONNECT_FAILED, 2 3 4, RejectRequest", "IDEMPOTENT, ALL, ERROR, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, RESET, 2 3 4, RejectRequest", "IDEMPOTENT, CELL, TIMEOUT, 2 3 4, RejectRequest", "IDEMPOTENT, CELL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENT, CELL, NOT_SENT, 2 3 4, RejectRequest",
    "NON_IDEMPOTENT, ALL, REJECTED, 2 3 4, RejectRequest", "NON_IDEMPOTENT, ALL, CONNECT_FAILED, 2 3 4, RejectRequest",
    "NON_IDEMPOTENT, ALL, NOT_SENT, 2 3 4, RejectRequest", "NON_IDEMPOTENT, ALL, ERROR, '', FailRequest", "NON_IDEMPOTENT, ALL, RESET, '', FailRequest",
    "NON_IDEMPOTENT, ALL, TIMEOUT, '', FailRequest", "NON_IDEMPOTENT, ALL, CANCELLED, '', FailRequest",
    "IDEMPOTENCY_KEY, ALL, REJECTED, 2 3 4, RejectRequest", "IDEMPOTENCY_KEY, ALL, ERROR, 2 3 4, RejectRequest", "IDEMPOTENCY_KEY, ALL, RESET, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ALL, TIMEOUT, 2 3 4, RejectRequest", "IDEMPOTENCY_KEY, ALL, CANCELLED, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ZONE, REJECTED, 2 3 4, RejectRequest", "IDEMPOTENCY_KEY, ZONE, CONNECT_FAILED, 2 3 4, RejectRequest",
    "IDEMPOTENCY_KEY, ZONE, ERROR, 2 3, FailRequest", "IDEMPOTENCY_KEY, ZONE, RESET, 2 3, FailRequest", "IDEMPOTENCY_KEY, ZONE, TIMEOUT, 2 3, FailRequest",
    "IDEMPOTENCY_KEY, ZONE, CANCELLED, 2 3, FailRequest",
    "IDEMPOTENCY_KEY, CELL, REJECTED, 2 3 4, RejectRequest", "IDEMPOTENCY_KEY, CELL, NOT_SENT, 2 3 4, RejectRequest", "IDEMPOTENCY_KEY, CELL, ERROR, 2, FailRequest",
    "IDEMPOTENCY_KEY, CELL, RESET, 2, FailRequest", "IDEMPOTENCY_KEY, CELL, TIMEOUT, 2, FailRequest", "IDEMPOTENCY_KEY, CELL, CANCELLED, 2, FailRequest"})
  void nextAttemptOrFinalAnswer(Idempotence effect, DedupScope scope, AttemptStatus status, String allowed, String end) {
    for (long other = 2; other <= 4; other++) {
      EngineDriver d = fleet(effect, scope, other);
      List<Action> next = d.end("r", FIRST, status, EngineDriver.MS);
      assertEquals(allowed.contains("" + other) ? other : -1, EngineDriver.sentTo(next), "sent on to " + other);
    }
    EngineDriver alone = fleet(effect, scope);
    alone.list(UpdateKind.FULL);
    List<Action> last = new ArrayList<>(alone.end("r", FIRST, status, EngineDriver.MS));
    last.addAll(alone.pass(2000 * EngineDriver.MS));
    List<Action> finals = last.stream().filter(a -> a instanceof RejectRequest || a instanceof FailRequest).toList();
    assertEquals(1, finals.size());
    assertEquals(end, finals.get(0).getClass().getSimpleName());
  }

  @Test
  void keyedIsNotResentPastItsWindow() {
    EngineDriver d = fleet(Idempotence.IDEMPOTENCY_KEY, DedupScope.ALL, 2, 3);
    d.pass(1999 * EngineDriver.MS);
    assertEquals(-1, EngineDriver.sentTo(d.end("r", FIRST, AttemptStatus.ERROR, 1999 * EngineDriver.MS)));
  }

  @Test
  void everyRequestIsAnsweredWhenNoUpstreamIsLeft() {
    EngineDriver d = new EngineDriver(EngineDriver.safe());
    d.list(UpdateKind.CACHED);
    assertTrue(d.request("r", "c", "k").stream().noneMatch(a -> a instanceof StartAttempt));
    assertTrue(EngineDriver.has(d.pass(2000 * EngineDriver.MS), RejectRequest.class));
  }

  @Test
  void attemptsStayUnderTheLimitAndAnAnsweredRequestIsLeftAlone() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(12);
    long to = EngineDriver.sentTo(d.request("r", "c", "k"));
    int sent = 0;
    while (to >= 0) {
      sent++;
      to = EngineDriver.sentTo(d.end("r", to, AttemptStatus.REJECTED, EngineDriver.MS));
    }
    assertEquals(4, sent);
    assertFalse(EngineDriver.has(d.pass(3000 * EngineDriver.MS), StartAttempt.class));
  }

  /** Guards against a retry storm: with every attempt failing, retries stay a fraction of the requests. */
  @Test
  void retriesAreBudgeted() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(12);
    int sends = 0;
    for (int i = 0; i < 500; i++) {
      String id = d.nextId();
      long to = EngineDriver.sentTo(d.request(id, "c", "k" + i));
      while (to >= 0) {
        sends++;
        to = EngineDriver.sentTo(d.end(id, to, AttemptStatus.REJECTED, EngineDriver.MS));
      }
      d.pass(EngineDriver.MS);
    }
    assertTrue(sends > 500 && sends < 500 * 1.2 + 40, "sends: " + sends);
  }

  @Test
  void theListIsAskedForAndAskedAgainAfterAFailure() {
    EngineDriver d = new EngineDriver(EngineDriver.settings(true, List.of(), EngineDriver.type("c", Idempotence.IDEMPOTENT, DedupScope.ALL)));
    assertTrue(EngineDriver.has(d.list(UpdateKind.CACHED, EngineDriver.up(1)), WatchEndpoints.class));
    for (int i = 0; i < 8; i++) {
      d.list(UpdateKind.FAILED);
      assertTrue(EngineDriver.has(d.pass(1100 * EngineDriver.MS), WatchEndpoints.class), "asked again, soon enough for what it may miss");
    }
    assertFalse(EngineDriver.has(d.list(UpdateKind.FULL, EngineDriver.up(1), EngineDriver.up(2)), WatchEndpoints.class));
    assertFalse(EngineDriver.has(d.pass(9000 * EngineDriver.MS), WatchEndpoints.class), "a subscription is not asked for twice");
  }

  @Test
  void anUpstreamBackWithANewStartIsUsedAgain() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(1);
    d.list(UpdateKind.FULL);
    assertEquals(-1, d.serve("k", EngineDriver.MS));
    d.list(UpdateKind.DELTA, new Endpoint(100, "a", 0, EndpointState.READY, d.now, 1));
    d.pass(2000 * EngineDriver.MS);
    assertEquals(100, d.serve("k", EngineDriver.MS));
  }

  /** Guards against losing an answer that streams on past the deadline. */
  @Test
  void aStartedStreamHasNoDeadline() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(1);
    d.request("r", "c", "k");
    d.step(new ResponseStarted("r", 0, 100, EngineDriver.MS));
    List<Action> later = d.pass(5000 * EngineDriver.MS);
    assertTrue(later.stream().noneMatch(a -> a instanceof FailRequest || a instanceof RejectRequest || a instanceof StartAttempt));
  }
}
