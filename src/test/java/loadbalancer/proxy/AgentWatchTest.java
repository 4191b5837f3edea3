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

  private static final long GRACE_MILLIS = 300;

  /** What every time limit of the platform grows by on real sockets. */
  private static final long SLACK_MILLIS = 50;

  private static BalancerConfig pushed(FakeServer discovery, String... members) throws IOException {
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

  /** How a watch ends without an update. */
  private enum End {
    CLOSED(c -> {}),
    RESET(FakeServer.Connection::reset),
    WHOLE(c -> c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")),
    DOWN(c -> c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"));

    @SuppressWarnings("ImmutableEnumChecker") // A script holds no state.
    final FakeServer.Script script;

    End(FakeServer.Script script) {
      this.script = script;
    }
  }

  /**
   * The agent knows of a drain, and the watch ends instead of sending it, as do those that replace
   * it: the waits between them together have to stay within the grace of the drain.
   */
  @ParameterizedTest
  @CsvSource({"CLOSED", "RESET", "WHOLE", "DOWN"})
  void learnsOfADrainWithinItsGraceWhenWatchesEndWithoutAnUpdate(End end) throws Exception {
    String first = ProxyFixture.endpointJson("s-a", "127.0.0.1:1", "ready");
    AtomicInteger watches = new AtomicInteger();
    AtomicLong toldAt = new AtomicLong();
    CountDownLatch listed = new CountDownLatch(1);
    ScriptedEngine engine = new ScriptedEngine((event, out) -> {});
    try (FakeServer discovery =
            new FakeServer(
                c -> {
                  c.readRequest();
                  int number = watches.incrementAndGet();
                  if (number == 1) {
                    c.write(
                        DiscoveryMessages.watchResponse(
                            ProxyFixture.endpointListJson(2, true, first)));
                    listed.await();
                    toldAt.set(System.nanoTime());
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
        ProxyFixture proxy = new ProxyFixture(pushed(discovery, first), engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(UpdateKind.FULL, engine.awaitEvent(EndpointListUpdate.class).kind());
      listed.countDown();
      EndpointListUpdate news = engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(
          List.of(EndpointState.DRAINING), news.endpoints().stream().map(e -> e.state()).toList());
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - toldAt.get());
      assertTrue(millis < GRACE_MILLIS + SLACK_MILLIS, "told after " + millis + " ms");
    }
  }

  /**
   * However long the agent has been away, no wait between two calls is as long as the grace of a
   * drain.
   */
  @Test
  void waitsLessThanADrainsGraceBetweenCalls() throws Exception {
    AtomicInteger watches = new AtomicInteger();
    AtomicLong lastAt = new AtomicLong();
    AtomicLong longest = new AtomicLong();
    CountDownLatch enough = new CountDownLatch(20);
    try (FakeServer discovery =
            new FakeServer(
                c -> {
                  long now = System.nanoTime();
                  if (watches.incrementAndGet() > 1) {
                    longest.accumulateAndGet(now - lastAt.get(), Math::max);
                  }
                  lastAt.set(now);
                  enough.countDown();
                  c.reset();
                });
        ProxyFixture proxy =
            new ProxyFixture(
                pushed(discovery, ProxyFixture.endpointJson("s-a", "127.0.0.1:1", "ready")),
                new ScriptedEngine((event, out) -> {}))) {
      assertTrue(enough.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      long millis = TimeUnit.NANOSECONDS.toMillis(longest.get());
      assertTrue(millis < GRACE_MILLIS, "nobody asked for " + millis + " ms");
    }
  }

  /**
   * Discovery whose first watch lists two endpoints and ends without an update; every later one
   * lists only the first of them.
   */
  private static FakeServer omitting(String stays, String leaves, CountDownLatch left)
      throws IOException {
    AtomicInteger watches = new AtomicInteger();
    return new FakeServer(
        c -> {
          c.readRequest();
          if (watches.incrementAndGet() == 1) {
            c.write(
                DiscoveryMessages.watchResponse(
                    ProxyFixture.endpointListJson(2, true, stays, leaves)));
            left.await();
          } else {
            c.write(DiscoveryMessages.watchResponse(ProxyFixture.endpointListJson(3, true, stays)));
            c.awaitClose();
          }
        });
  }

  /** Asks with many keys, of which some would go to the endpoint that has left. */
  private static void assertServedByTheStayingEndpoint(Client client) throws IOException {
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
    CountDownLatch left = new CountDownLatch(1);
    try (FakeServer leaving = FakeServer.respondingWith(FakeServer.ok("leaving"));
        FakeServer staying = FakeServer.respondingWith(FakeServer.ok("staying"));
        FakeServer discovery =
            omitting(
                ProxyFixture.endpointJson("s-stays", staying.address(), "ready"),
                ProxyFixture.endpointJson("s-leaves", leaving.address(), "ready"),
                left)) {
      BalancerConfig config =
          pushed(discovery, ProxyFixture.endpointJson("s-leaves", leaving.address(), "ready"));
      LoadBalancingEngine logic = new LoadBalancingEngine(config.settings(), config.seed());
      BlockingQueue<EndpointListUpdate> told = new LinkedBlockingQueue<>();
      try (ProxyFixture proxy =
              new ProxyFixture(
                  config,
                  (now, event, out) -> {
                    logic.handle(now, event, out);
                    if (event instanceof EndpointListUpdate news) {
                      told.add(news);
                    }
                  });
          Client client = proxy.client()) {
        assertEquals(UpdateKind.CACHED, told.take().kind());
        assertEquals(UpdateKind.FULL, told.take().kind());
        for (int i = 0; leaving.requests.isEmpty() || staying.requests.isEmpty(); i++) {
          client.exchange(ProxyFixture.get("t" + i, "Cookie: sid=" + i + "\r\n"));
        }
        left.countDown();
        assertEquals(
            1, told.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS).endpoints().size());
        leaving.requests.clear();
        assertServedByTheStayingEndpoint(client);
        assertTrue(leaving.requests.isEmpty());
      }
    }
  }
}
