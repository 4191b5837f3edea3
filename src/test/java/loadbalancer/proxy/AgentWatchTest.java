package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.RecordingEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Pushed endpoint lists: the time limit for applying a change begins when the local agent knows of
 * it, whether or not a watch is open.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
@SuppressWarnings("try") // Some tests do not access the proxy; it only has to run.
class AgentWatchTest {

  private static final long GRACE_MILLIS = 300;

  /** Added to each time limit, because real sockets and threads cause delays. */
  private static final long TOLERANCE_MILLIS = 50;

  private static BalancerConfig pushedConfig(FakeServer discovery, String... members)
      throws IOException {
    return BalancerConfig.parse(
        ProxyFixture.configText(
                discovery.address(),
                ProxyFixture.endpointListJson(1, true, members),
                "pushed",
                200,
                1024,
                "")
            .replace(
                "\"settings\":{",
                "\"settings\":{\"contract\":{\"drain-grace-ns\":"
                    + GRACE_MILLIS * 1_000_000
                    + "},"),
        Map.of());
  }

  /** A way in which a watch ends without an update. */
  private enum WatchEnd {
    CLOSED(c -> {}),
    RESET(FakeServer.Connection::reset),
    COMPLETE_RESPONSE(
        c -> c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
    UNAVAILABLE(c -> c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));

    @SuppressWarnings("ImmutableEnumChecker") // Scripts are stateless.
    final FakeServer.Script script;

    WatchEnd(FakeServer.Script script) {
      this.script = script;
    }
  }

  /**
   * The agent knows of a drain, but the watch and those that replace it end without delivering it.
   * The delays between them must add up to no more than the drain grace period.
   */
  @ParameterizedTest
  @CsvSource({"CLOSED", "RESET", "COMPLETE_RESPONSE", "UNAVAILABLE"})
  void learnsOfADrainWithinItsGraceWhenWatchesEndWithoutAnUpdate(WatchEnd end) throws Exception {
    String first = ProxyFixture.endpointJson("s-a", "127.0.0.1:1", "ready");
    AtomicInteger watchCount = new AtomicInteger();
    AtomicLong drainKnownAt = new AtomicLong();
    CountDownLatch listDelivered = new CountDownLatch(1);
    ScriptedEngine engine = new ScriptedEngine((event, out) -> {});
    try (FakeServer discovery =
            new FakeServer(
                c -> {
                  c.readRequest();
                  int number = watchCount.incrementAndGet();
                  if (number == 1) {
                    c.write(
                        DiscoveryMessages.watchResponse(
                            ProxyFixture.endpointListJson(2, true, first)));
                    listDelivered.await();
                    drainKnownAt.set(System.nanoTime());
                    end.script.run(c);
                  } else if (number < 5) {
                    end.script.run(c);
                  } else {
                    c.write(
                        DiscoveryMessages.watchResponse(
                            ProxyFixture.endpointListJson(
                                3, true, first.replace("ready", "draining"))));
                    c.awaitClose();
                  }
                });
        ProxyFixture proxy = new ProxyFixture(pushedConfig(discovery, first), engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(UpdateKind.FULL, engine.awaitEvent(EndpointListUpdate.class).kind());
      listDelivered.countDown();
      EndpointListUpdate update = engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(
          List.of(EndpointState.DRAINING),
          update.endpoints().stream().map(e -> e.state()).toList());
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - drainKnownAt.get());
      assertTrue(millis < GRACE_MILLIS + TOLERANCE_MILLIS, "notified after " + millis + " ms");
    }
  }

  /**
   * However long the agent has been unavailable, every delay between two calls is shorter than the
   * drain grace period.
   */
  @Test
  void waitsLessThanTheDrainGraceBetweenCalls() throws Exception {
    AtomicInteger watchCount = new AtomicInteger();
    AtomicLong lastCallAt = new AtomicLong();
    AtomicLong longestDelay = new AtomicLong();
    CountDownLatch calls = new CountDownLatch(20);
    try (FakeServer discovery =
            new FakeServer(
                c -> {
                  long now = System.nanoTime();
                  if (watchCount.incrementAndGet() > 1) {
                    longestDelay.accumulateAndGet(now - lastCallAt.get(), Math::max);
                  }
                  lastCallAt.set(now);
                  calls.countDown();
                  c.reset();
                });
        ProxyFixture proxy =
            new ProxyFixture(
                pushedConfig(discovery, ProxyFixture.endpointJson("s-a", "127.0.0.1:1", "ready")),
                new ScriptedEngine((event, out) -> {}))) {
      assertTrue(calls.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      long millis = TimeUnit.NANOSECONDS.toMillis(longestDelay.get());
      assertTrue(millis < GRACE_MILLIS, "no call for " + millis + " ms");
    }
  }

  /**
   * Returns a discovery agent whose first watch lists two endpoints and ends without an update.
   * Every later watch lists only the first of them.
   */
  private static FakeServer discoveryOmitting(
      String remainingMember, String omittedMember, CountDownLatch firstWatchEndRequested)
      throws IOException {
    AtomicInteger watchCount = new AtomicInteger();
    return new FakeServer(
        c -> {
          c.readRequest();
          if (watchCount.incrementAndGet() == 1) {
            c.write(
                DiscoveryMessages.watchResponse(
                    ProxyFixture.endpointListJson(2, true, remainingMember, omittedMember)));
            firstWatchEndRequested.await();
          } else {
            c.write(
                DiscoveryMessages.watchResponse(
                    ProxyFixture.endpointListJson(3, true, remainingMember)));
            c.awaitClose();
          }
        });
  }

  /** Sends requests with many affinity keys, some of which the omitted endpoint would serve. */
  private static void assertServedByRemainingEndpoint(Client client) throws IOException {
    for (int i = 0; i < 40; i++) {
      String response = client.exchange(ProxyFixture.get("u" + i, "Cookie: sid=" + i + "\r\n"));
      assertTrue(response.endsWith("\r\n\r\nstaying"), response);
    }
  }

  /**
   * A watch that replaces another begins with the complete list, which omits draining endpoints. An
   * omitted endpoint counts as gone, although it still responds.
   */
  @Test
  void sendsNothingToAnEndpointThatACompleteListOmits() throws Exception {
    CountDownLatch firstWatchEndRequested = new CountDownLatch(1);
    try (FakeServer omitted = FakeServer.respondingWith(FakeServer.ok("leaving"));
        FakeServer remaining = FakeServer.respondingWith(FakeServer.ok("staying"));
        FakeServer discovery =
            discoveryOmitting(
                ProxyFixture.endpointJson("s-stays", remaining.address(), "ready"),
                ProxyFixture.endpointJson("s-leaves", omitted.address(), "ready"),
                firstWatchEndRequested)) {
      BalancerConfig config =
          pushedConfig(
              discovery, ProxyFixture.endpointJson("s-leaves", omitted.address(), "ready"));
      RecordingEngine engine = new RecordingEngine(config, UpdateKind.values());
      try (ProxyFixture proxy = new ProxyFixture(config, engine);
          Client client = proxy.client()) {
        assertEquals(UpdateKind.CACHED, engine.awaitUpdate().kind());
        assertEquals(UpdateKind.FULL, engine.awaitUpdate().kind());
        for (int i = 0; omitted.requests.isEmpty() || remaining.requests.isEmpty(); i++) {
          client.exchange(ProxyFixture.get("t" + i, "Cookie: sid=" + i + "\r\n"));
        }
        firstWatchEndRequested.countDown();
        assertEquals(1, engine.awaitUpdate().endpoints().size());
        omitted.requests.clear();
        assertServedByRemainingEndpoint(client);
        assertTrue(omitted.requests.isEmpty());
      }
    }
  }
}
