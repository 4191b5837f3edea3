package loadbalancer.discovery;

import static loadbalancer.discovery.DiscoveryTestSupport.READY_MEMBER;
import static loadbalancer.discovery.DiscoveryTestSupport.describe;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.RecordingEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a slow discovery that is never heard, because each call was given up before its
 * list came. Calls wait for their first list, and some are never answered.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
@SuppressWarnings("try") // The proxy runs while the test reads the events of its engine.
class SlowDiscoveryTest {

  private static final String DRAINING_MEMBER = DiscoveryTestSupport.member("draining");

  /** A time after the first list in which a watch is neither replaced nor reported as failed. */
  private static final long STABLE_MILLIS = 3000;

  /**
   * A discovery.
   *
   * @param waitMillis the time from a call to its first list
   * @param unansweredCalls the number of calls, from the first one on, that are never answered
   */
  private record Scenario(String mode, long waitMillis, int unansweredCalls) {}

  /**
   * What a proxy did.
   *
   * @param listMillis the time from the moment at which discovery answers calls to the first list
   * @param callsBeforeList the number of calls until then
   * @param callsAfterList the number of calls while the watch with the list was open
   * @param nextUpdate the update that follows the first list
   */
  private record Outcome(
      long listMillis, int callsBeforeList, int callsAfterList, String nextUpdate) {}

  private static List<Scenario> scenarios() {
    List<Scenario> scenarios = new ArrayList<>();
    for (String mode : List.of(DiscoveryTestSupport.PUSHED, DiscoveryTestSupport.POLLED)) {
      for (long waitMillis : new long[] {0, 1500, 3200, 5000}) {
        scenarios.add(new Scenario(mode, waitMillis, 0));
        scenarios.add(new Scenario(mode, waitMillis, 2));
      }
    }
    return scenarios;
  }

  @Test
  void firstListArrivesHoweverLongCallsWaitAndTheWatchStaysOpen() throws Exception {
    ExecutorService executor = Executors.newCachedThreadPool();
    try {
      List<Future<Outcome>> outcomes =
          scenarios().stream().map(scenario -> executor.submit(() -> play(scenario))).toList();
      for (int i = 0; i < outcomes.size(); i++) {
        Scenario scenario = scenarios().get(i);
        Outcome outcome = outcomes.get(i).get(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        String message = scenario + ": " + outcome;
        long limitMillis = scenario.waitMillis() + DiscoveryTimeouts.UPDATE_DEADLINE_MILLIS;
        assertTrue(outcome.listMillis() < limitMillis, message);
        assertEquals(0, outcome.callsAfterList(), message);
        assertEquals("DELTA 1 DRAINING", outcome.nextUpdate(), message);
      }
    } finally {
      executor.shutdownNow();
    }
  }

  /** Starts a proxy, waits for its first list, and publishes a drain on the open watch. */
  private static Outcome play(Scenario scenario) throws Exception {
    AtomicInteger callCount = new AtomicInteger();
    AtomicLong answeringSinceNanos = new AtomicLong();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          int call = callCount.incrementAndGet();
          if (call <= scenario.unansweredCalls()) {
            connection.awaitClose();
            return;
          }
          answeringSinceNanos.compareAndSet(0, System.nanoTime());
          Thread.sleep(scenario.waitMillis());
          connection.write(
              DiscoveryMessages.watchResponse(
                  ProxyFixture.endpointListJson(42, true, READY_MEMBER)));
          Thread.sleep(STABLE_MILLIS / 2);
          connection.write(DiscoveryMessages.chunk(""));
          Thread.sleep(STABLE_MILLIS / 2);
          connection.write(
              DiscoveryMessages.chunk(ProxyFixture.endpointListJson(43, false, DRAINING_MEMBER)));
          connection.awaitClose();
        };
    try (FakeServer discovery = new FakeServer(script)) {
      BalancerConfig config = DiscoveryTestSupport.config(discovery, scenario.mode());
      RecordingEngine engine = new RecordingEngine(config, UpdateKind.FULL, UpdateKind.DELTA);
      try (ProxyFixture proxy = new ProxyFixture(config, engine)) {
        assertEquals("FULL 1 READY", describe(engine.awaitUpdate()));
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - answeringSinceNanos.get());
        int callsBeforeList = callCount.get();
        String nextUpdate = describe(engine.awaitUpdate());
        return new Outcome(millis, callsBeforeList, callCount.get() - callsBeforeList, nextUpdate);
      }
    }
  }
}
