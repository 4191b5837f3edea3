package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.Tenant;
import org.junit.jupiter.api.Test;

/** The straight line, its window and what it is fed with. */
class AdmissionTest {

  private static double published(double meanMs) {
    return AdaptiveRateLimiter.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  @Test
  void lineMatchesThePublishedFigures() {
    assertEquals(240, published(0));
    assertEquals(240, published(300));
    assertEquals(177.3, published(5000), 0.1);
    assertEquals(122, published(9150), 0.001);
    assertEquals(4, published(18_000));
    assertEquals(4, published(99_000));
  }

  @Test
  void windowCountsAndForgets() {
    SlidingWindow w = new SlidingWindow(1200, 0);
    assertEquals(0, w.mean(0), "an empty window is healthy");
    w.add(0, Metric.ADMITTED, 1);
    w.add(150, Metric.SAMPLES, 1);
    w.add(150, Metric.LATENCY_SUM, 6);
    w.add(650, Metric.SAMPLES, 1);
    w.add(650, Metric.LATENCY_SUM, 2);
    assertEquals(1, w.total(1199, Metric.ADMITTED));
    assertEquals(0, w.total(1200, Metric.ADMITTED));
    assertEquals(4, w.mean(1250), 1e-9);
    assertEquals(2, w.mean(1300), 1e-9);
    assertEquals(0, w.mean(90_000), 1e-9);
  }

  /** Serves at a rate with a fixed number out, each answer after the latency; the share refused. */
  private static double refusedShare(EngineDriver d, int requests, int out, long latency, AttemptStatus status) {
    return refusedShare(d, null, requests, out, latency, status);
  }

  private static double refusedShare(EngineDriver d, String tenant, int requests, int out, long latency, AttemptStatus status) {
    d.refusals.clear();
    for (int i = 0; i < requests; i++) {
      d.request(d.nextId(), "c", tenant, "k" + i % 50, 0);
      d.serveFor(latency / out, status, latency);
    }
    return d.refusals.getOrDefault("r", 0) / (double) requests;
  }

  @Test
  void healthyFleetRefusesNothing() {
    assertEquals(0, refusedShare(new EngineDriver(EngineDriver.safe()).upstreams(5), 500, 5, 40 * EngineDriver.MS, AttemptStatus.SUCCESS));
  }

  @Test
  void overloadIsRefusedWithRetryAfter() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(5);
    refusedShare(d, 300, 2, 40 * EngineDriver.MS, AttemptStatus.SUCCESS);
    assertTrue(refusedShare(d, 600, 30, 700 * EngineDriver.MS, AttemptStatus.SUCCESS) > 0.2);
  }

  /** Told to come back anywhere in the longest time that a client follows, most came back past their aim. */
  @Test
  void aRefusedClientIsToldToComeBackWhileAnAnswerIsStillOfUse() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(5);
    refusedShare(d, 600, 30, 700 * EngineDriver.MS, AttemptStatus.SUCCESS);
    List<Long> waits = new ArrayList<>();
    for (int i = 0; i < 600; i++) {
      for (Action action : d.request(d.nextId(), "c", "k" + i % 50)) {
        if (action instanceof RejectRequest refuse) {
          waits.add(refuse.retryAfterNanos());
        }
      }
      d.serveFor(700 / 30 * EngineDriver.MS, AttemptStatus.SUCCESS, 700 * EngineDriver.MS);
    }
    assertTrue(waits.size() > 50, "refused: " + waits.size());
    waits.forEach(wait -> assertTrue(wait <= 40 * EngineDriver.MS, "of an aim of 400 ms: " + wait));
    assertTrue(waits.stream().distinct().count() > waits.size() / 2, "spread, or all come back at once");
  }

  /** Clients that wait for less than the aim had upstreams ejected, and all the others refused. */
  @Test
  void clientsInAHurryBlameNoUpstream() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(5);
    EngineDriver.Sent hurried = null;
    for (int i = 0; i < 500; i++) {
      d.serve("k" + i % 50, 40 * EngineDriver.MS);
      d.step(new RequestArrived("h" + i, "c", null, "k" + i % 50, d.now + 150 * EngineDriver.MS, 0, false));
      d.pass(150 * EngineDriver.MS);
      for (EngineDriver.Sent sent : List.copyOf(d.outstanding)) {
        hurried = sent;
        d.end(sent, AttemptStatus.TIMEOUT, 150 * EngineDriver.MS);
      }
    }
    assertNotNull(hurried, "none was sent");
    assertEquals(0, d.refusals.getOrDefault("r", 0), "of those that wait");
  }

  /** Guards work inside a quota: with few out, a slow dependency is not an overload of its making. */
  @Test
  void noRefusalInsideAQuotaWhileNoMoreIsOutThanUsual() {
    EngineDriver d = new EngineDriver(EngineDriver.settings(false, List.of(new Tenant("t", 1, 1000)),
        EngineDriver.type("c", Idempotence.IDEMPOTENT, DedupScope.ALL))).upstreams(5);
    refusedShare(d, "t", 2000, 10, 40 * EngineDriver.MS, AttemptStatus.SUCCESS);
    assertEquals(0, refusedShare(d, "t", 300, 4, 390 * EngineDriver.MS, AttemptStatus.SUCCESS), 0.02);
  }

  /** A balancer a second old took half of what is usual for more than that, and refused what was no overload. */
  @Test
  void whatIsUsualIsKnownSoonAfterAStart() {
    EngineDriver d = new EngineDriver(EngineDriver.settings(false, List.of(new Tenant("t", 1, 1000)),
        EngineDriver.type("c", Idempotence.IDEMPOTENT, DedupScope.ALL))).upstreams(40);
    refusedShare(d, "t", 250, 20, 80 * EngineDriver.MS, AttemptStatus.SUCCESS);
    assertEquals(0, refusedShare(d, "t", 300, 15, 390 * EngineDriver.MS, AttemptStatus.SUCCESS));
  }

  /** Guards against an overload from the first second, in which nothing healthy was ever seen to be usual. */
  @Test
  void withoutAHealthyTimeNothingIsUsualAndTheLineRefuses() {
    EngineDriver d = new EngineDriver(EngineDriver.settings(false, List.of(new Tenant("t", 1, 1000)),
        EngineDriver.type("c", Idempotence.IDEMPOTENT, DedupScope.ALL))).upstreams(40);
    assertTrue(refusedShare(d, "t", 300, 10, 390 * EngineDriver.MS, AttemptStatus.SUCCESS) > 0.2);
  }

  /** Guards against a collapsed fleet that nobody relieves: without quotas the line refuses, however few are out. */
  @Test
  void withoutQuotasTheLineRefusesThoughFewAreOut() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(5);
    refusedShare(d, 2000, 10, 40 * EngineDriver.MS, AttemptStatus.SUCCESS);
    assertTrue(refusedShare(d, 300, 4, 390 * EngineDriver.MS, AttemptStatus.SUCCESS) > 0.2);
  }

  @Test
  void excessOverAQuotaIsRefusedFirst() {
    EngineDriver d = new EngineDriver(EngineDriver.settings(false, List.of(new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000)),
        EngineDriver.type("c", Idempotence.IDEMPOTENT, DedupScope.ALL))).upstreams(5);
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        d.request(tenant + d.nextId(), "c", tenant, "k" + i % 50, 0);
      }
      d.serveFor(20 * EngineDriver.MS, AttemptStatus.SUCCESS, 140 * EngineDriver.MS);
    }
    assertTrue(d.refusals.getOrDefault("b", 0) > 300, "excess refused: " + d.refusals);
    assertEquals(0, d.refusals.getOrDefault("s", 0), "inside its quota nothing is refused");
  }

  /** Guards against a small part of a quota, in which a few requests by chance would be called excess. */
  @Test
  void chanceArrivalsInsideAQuotaAreNotExcess() {
    EngineDriver d = new EngineDriver(EngineDriver.settings(false, List.of(new Tenant("t", 1, 0.5)),
        EngineDriver.type("c", Idempotence.IDEMPOTENT, DedupScope.ALL))).upstreams(1);
    for (int i = 0; i < 200; i++) {
      // Slow enough for the line of excess, healthy for that of in-share work.
      d.request(d.nextId(), "c", "k" + i % 50);
      d.serveFor(190 * EngineDriver.MS, AttemptStatus.SUCCESS, 180 * EngineDriver.MS);
    }
    for (int i = 0; i < 8; i++) {
      d.request("t" + d.nextId(), "c", "t", "k" + i, 0);
      d.serveFor(190 * EngineDriver.MS, AttemptStatus.SUCCESS, 180 * EngineDriver.MS);
    }
    assertEquals(0, d.refusals.getOrDefault("t", 0));
  }

  /** Guards in-share work where one balancer gets far more than its even part of the traffic, of all tenants. */
  @Test
  void aBalancerThatCarriesMoreThanItsPartHasMoreOfTheQuotas() {
    int all = refusedOf("a", "a", "b", "c");
    int alone = refusedOf("a", "a");
    assertTrue(all < alone / 2, "refused " + all + " where all ask ten times their parts, " + alone + " where one does");
  }

  /** Refusals of tenant a, each tenant's part being one a second, where each of some asks for ten. */
  private static int refusedOf(String tenant, String... asking) {
    EngineDriver d = new EngineDriver(EngineDriver.settings(false, List.of(new Tenant("a", 1, 1), new Tenant("b", 1, 1),
        new Tenant("c", 1, 1)), EngineDriver.type("c", Idempotence.IDEMPOTENT, DedupScope.ALL))).upstreams(5);
    for (int i = 0; i < 300; i++) {
      for (String t : asking) {
        d.request(t + d.nextId(), "c", t, "k" + i % 50, 0);
      }
      d.serveFor(100 * EngineDriver.MS, AttemptStatus.SUCCESS, 140 * EngineDriver.MS);
    }
    return d.refusals.getOrDefault(tenant, 0);
  }

  /** Guards against quick failures that pull a mean down and keep a rate at full. */
  @Test
  void quickFailuresCountAsTheClassLimit() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(5);
    double refused = refusedShare(d, 800, 10, 2 * EngineDriver.MS, AttemptStatus.ERROR);
    assertTrue(refused > 0.3, "refused " + refused);
  }

  /** Guards the memory of long days: keys are ever new, and what is kept of one goes once it tells nothing any more. */
  @Test
  void keysThatAreIdleForAWindowAreForgotten() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(3);
    for (int i = 0; i < 2000; i++) {
      d.request(d.nextId(), "c", "k" + i);
      d.serveFor(10 * EngineDriver.MS, AttemptStatus.SUCCESS, 10 * EngineDriver.MS);
    }
    int kept = ((LoadBalancingEngine) d.module).lifecycle.classifier.windows.size();
    assertTrue(kept < 300, "a window of 1 s holds some 100 of 2,000 keys, and the keys kept are " + kept);
  }

  /** Guards the loads of all others from one hint that is out of all proportion. */
  @Test
  void oneHugeHintDoesNotMakeTheOthersLight() {
    int usual = sentAtOnceAfter(20 * EngineDriver.MS);
    assertEquals(usual, sentAtOnceAfter(1_000_000_000_000_000L), usual / 2);
  }

  private static int sentAtOnceAfter(long odd) {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(1);
    for (int i = 0; i < 500; i++) {
      d.request(d.nextId(), "c", null, "k" + i % 10, i == 495 ? odd : 20 * EngineDriver.MS);
      d.serveFor(20 * EngineDriver.MS, AttemptStatus.SUCCESS, 20 * EngineDriver.MS);
    }
    int sent = 0;
    for (int i = 0; i < 30; i++) {
      sent += EngineDriver.sentTo(d.request(d.nextId(), "c", null, "k" + i, 20 * EngineDriver.MS)) >= 0 ? 1 : 0;
    }
    return sent;
  }

  /** Guards work that others can do: one attempt in eight that is reset at once is no overload. */
  @Test
  void resetsAreNotChargedTheWholeDeadline() {
    EngineDriver d = new EngineDriver(EngineDriver.safe()).upstreams(6);
    for (int i = 0; i < 1000; i++) {
      d.request(d.nextId(), "c", "k" + i % 20);
      if (i % 8 == 0 && !d.outstanding.isEmpty()) {
        d.end(d.outstanding.get(d.outstanding.size() - 1), AttemptStatus.RESET, EngineDriver.MS);
      }
      d.serveFor(10 * EngineDriver.MS, AttemptStatus.SUCCESS, 10 * EngineDriver.MS);
    }
    int refused = d.refusals.values().stream().mapToInt(n -> n).sum();
    assertTrue(refused < 50, "refused: " + refused);
  }
}
