package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Where lists are pushed, what the agent knows applies at once, whether or not a watch stands. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
@SuppressWarnings("try") // The proxy runs while its engine is asked.
class AgentWatchTest {

  private static final long DRAIN_GRACE_MILLIS = 300;

  /** What every time limit of the platform grows by on real sockets. */
  private static final long TOLERANCE_MILLIS = 50;

  private static BalancerConfig pushedConfig(FakeServer discovery, String... members)
      throws IOException {
    return BalancerConfig.parse(
        ProxyFixture.configText(
                discovery.address(), ProxyFixture.list(1, true, members), "pushed", 200, 1024, "")
            .replace(
                "\"settings\":{",
                "\"settings\":{\"contract\":{\"drain-grace-ns\":"
                    + DRAIN_GRACE_MILLIS * 1_000_000
                    + "},"),
        Map.of());
  }

  /** How a watch ends without an update. */
  private enum WatchEnd {
    CLOSED(c -> {}),
    RESET(FakeServer.Connection::reset),
    COMPLETE_RESPONSE(
        c -> c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
    UNAVAILABLE(c -> c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));

    @SuppressWarnings("ImmutableEnumChecker") // A script holds no state.
    final FakeServer.Script script;

    WatchEnd(FakeServer.Script script) {
      this.script = script;
    }
  }

  /**
   * The agent knows of a drain, and the watch ends instead of sending it, as do those that replace
   * it: the waits between them together have to stay within the grace of the drain.
   */
  @ParameterizedTest
  @CsvSource({"CLOSED", "RESET", "WHOLE", "DOWN"})
  void learnsOfADrainWithinItsGraceWhenWatchesEndWithoutAnUpdate(WatchEnd end) throws Exception {
    String first = ProxyFixture.member("s-a", "127.0.0.1:1", "ready");
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
                    c.write(DiscoveryMessages.watchResponse(ProxyFixture.list(2, true, first)));
                    listDelivered.await();
                    drainKnownAt.set(System.nanoTime());
                    end.script.run(c);
                  } else if (number < 5) {
                    end.script.run(c);
                  } else {
                    c.write(
                        DiscoveryMessages.watchResponse(
                            ProxyFixture.list(3, true, first.replace("ready", "draining"))));
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
      assertTrue(millis < DRAIN_GRACE_MILLIS + TOLERANCE_MILLIS, "told after " + millis + " ms");
    }
  }

  /**
   * However long the agent has been away, no wait between two calls is as long as the grace of a
   * drain.
   */
  @Test
  void waitsLessThanADrainsGraceBetweenCalls() throws Exception {
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
                pushedConfig(discovery, ProxyFixture.member("s-a", "127.0.0.1:1", "ready")),
                new ScriptedEngine((event, out) -> {}))) {
      assertTrue(calls.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      long millis = TimeUnit.NANOSECONDS.toMillis(longestDelay.get());
      assertTrue(millis < DRAIN_GRACE_MILLIS, "nobody asked for " + millis + " ms");
    }
  }

  /**
   * Discovery whose first watch lists two endpoints and ends without an update; every later one
   * lists only the first of them.
   */
  private static FakeServer discoveryOmitting(
      String remainingMember, String omittedMember, CountDownLatch endFirstWatch)
      throws IOException {
    AtomicInteger watchCount = new AtomicInteger();
    return new FakeServer(
        c -> {
          c.readRequest();
          if (watchCount.incrementAndGet() == 1) {
            c.write(
                DiscoveryMessages.watchResponse(
                    ProxyFixture.list(2, true, remainingMember, omittedMember)));
            endFirstWatch.await();
          } else {
            c.write(DiscoveryMessages.watchResponse(ProxyFixture.list(3, true, remainingMember)));
            c.awaitClose();
          }
        });
  }

  /** Asks with many keys, of which some would go to the endpoint that has left. */
  private static void assertServedByRemainingEndpoint(Client client) throws IOException {
    for (int i = 0; i < 40; i++) {
      String response = client.exchange(ProxyFixture.get("u" + i, "Cookie: sid=" + i + "\r\n"));
      assertTrue(response.endsWith("\r\n\r\nstaying"), response);
    }
  }

  /**
   * A watch that replaces one begins with the complete list, which omits what drains: that endpoint
   * is gone, though it still responds.
   */
  @Test
  void sendsNothingToAnEndpointThatACompleteListOmits() throws Exception {
    CountDownLatch endFirstWatch = new CountDownLatch(1);
    try (FakeServer omitted = FakeServer.respondingWith(FakeServer.ok("leaving"));
        FakeServer remaining = FakeServer.respondingWith(FakeServer.ok("staying"));
        FakeServer discovery =
            discoveryOmitting(
                ProxyFixture.member("s-stays", remaining.address(), "ready"),
                ProxyFixture.member("s-leaves", omitted.address(), "ready"),
                endFirstWatch)) {
      BalancerConfig config =
          pushedConfig(discovery, ProxyFixture.member("s-leaves", omitted.address(), "ready"));
      LoadBalancingEngine realEngine = new LoadBalancingEngine(config.settings(), config.seed());
      BlockingQueue<EndpointListUpdate> updates = new LinkedBlockingQueue<>();
      try (ProxyFixture proxy =
              new ProxyFixture(
                  config,
                  (now, event, out) -> {
                    realEngine.handle(now, event, out);
                    if (event instanceof EndpointListUpdate update) {
                      updates.add(update);
                    }
                  });
          Client client = proxy.client()) {
        assertEquals(UpdateKind.CACHED, updates.take().kind());
        assertEquals(UpdateKind.FULL, updates.take().kind());
        for (int i = 0; omitted.requests.isEmpty() || remaining.requests.isEmpty(); i++) {
          client.exchange(ProxyFixture.get("t" + i, "Cookie: sid=" + i + "\r\n"));
        }
        endFirstWatch.countDown();
        assertEquals(
            1, updates.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS).endpoints().size());
        omitted.requests.clear();
        assertServedByRemainingEndpoint(client);
        assertTrue(omitted.requests.isEmpty());
      }
    }
  }
}
