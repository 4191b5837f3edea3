package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.proxy.WarmUp.Count;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class StartupTest {

  private static Settings settings() throws IOException {
    return BalancerConfig.read(Map.of("ROUTER_CONFIG", "deploy/example.json")).settings();
  }

  /** Bounded by the clock it made 17 of its 2,000 requests at half a core, and left the code cold. */
  @Test
  void allItsRequestsAreAnsweredHoweverLongThatTakes() throws IOException {
    assertEquals(WarmUp.MOST_REQUESTS, WarmUp.run(settings(), TimeUnit.MINUTES.toMillis(1)).answered());
  }

  /** With 200 requests for each a restart of most of a large fleet was an outage of three seconds, of which these were one. */
  @Test
  void oneOfManyIsReadySoonerThanOneThatHasMuchToServe() throws IOException {
    assertEquals(42, WarmUp.run(shared("985", 14), TimeUnit.MINUTES.toMillis(1)).answered());
    assertEquals(180, WarmUp.requests(shared("600", 2)));
    assertEquals(WarmUp.LEAST_REQUESTS, WarmUp.requests(shared("100", 14)));
    assertEquals(WarmUp.MOST_REQUESTS, WarmUp.requests(shared("0", 14)), "no quota stated");
  }

  private static Settings shared(String quota, int balancers) throws IOException {
    String text = Files.readString(Path.of("deploy/example.json")).replace("100000.0", quota)
        .replace("\"group-size\": 1", "\"group-size\": " + balancers);
    return BalancerConfig.parse(text, Map.of()).settings();
  }

  /** Once cut short its clients went on for seconds, refused by a balancer whose upstream was closed. */
  @Test
  void cutShortItAsksNothingMore() throws IOException {
    Count count = WarmUp.run(settings(), 0);
    assertTrue(count.asked() < WarmUp.MOST_REQUESTS, () -> "went on after its end: " + count);
  }

  /** A third of its attempts was taken for broken, and its upstreams were left out: with long aims nothing is refused else. */
  @Test
  void itsUpstreamsServeAll() throws IOException {
    Settings settings = ProxyFixture.config("127.0.0.1:1", ProxyFixture.list(1, true)).settings();
    Count count = WarmUp.run(settings, TimeUnit.MINUTES.toMillis(1));
    assertEquals(new Count(WarmUp.MOST_REQUESTS, WarmUp.MOST_REQUESTS, WarmUp.MOST_REQUESTS), count);
  }

  /** SIGKILL may come 0.7 s after the longest deadline, counted from SIGTERM: all has its answer by then. */
  @Test
  void whatIsInHandIsAnsweredBeforeTheProcessMayBeKilled() throws IOException {
    String text = ProxyFixture.text("127.0.0.1:1", ProxyFixture.list(1, true), "on_request", 200, 1024, "");
    Settings brief = BalancerConfig.parse(text.replace("40000000000", "1940000000"), Map.of()).settings();
    assertTrue(ProxyServer.stopMillis(brief) < 1940 + 700);
    assertTrue(ProxyServer.stopMillis(BalancerConfig.parse(text, Map.of()).settings()) < 3000 + 700);
  }

  private static final String A = ProxyFixture.member("s-a", "127.0.0.1:1", "ready");

  private static BalancerConfig pushed(FakeServer discovery) throws IOException {
    return ProxyFixture.config(discovery.address(), ProxyFixture.list(1, true, A), "pushed", 200, 1024, "");
  }

  /**
   * What discovery has counts as told from a process's first moment. A start that did not wait for it sent its first requests
   * to what the old list still called ready.
   */
  @Test
  @Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
  void aStartWaitsForWhatDiscoveryHasToTell() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> { });
    CountDownLatch prepared = new CountDownLatch(1);
    AtomicBoolean early = new AtomicBoolean();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      early.set(prepared.await(DiscoveryClient.AGENT_MILLIS / 2, TimeUnit.MILLISECONDS));
      c.write(DiscoveryMessages.watch(ProxyFixture.list(2, false, ProxyFixture.member("s-a", "127.0.0.1:1", "draining"))));
      c.ends();
    })) {
      ProxyServer server = ProxyServer.prepare(pushed(discovery), n -> module, TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
      prepared.countDown();
      assertEquals(UpdateKind.CACHED, module.next(EndpointListUpdate.class).kind());
      assertEquals(EndpointState.DRAINING, module.next(EndpointListUpdate.class).endpoints().get(0).state());
      server.shutDownNow();
    }
    assertFalse(early.get(), "ready before the list came");
  }

  /** Discovery is down: its agent is silent, and the service goes on with what was known. */
  @Test
  @Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
  void withoutDiscoveryItStartsWithTheListThatWasKnown() throws Exception {
    ScriptedEngine module = new ScriptedEngine(TimeUnit.SECONDS.toNanos(30));
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      c.ends();
    })) {
      ProxyServer server = ProxyServer.prepare(pushed(discovery), n -> module, 100);
      server.listen();
      try (ProxyFixture.Client client = new ProxyFixture.Client(server)) {
        assertTrue(client.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200 "));
      } finally {
        server.shutDownNow();
      }
    }
  }

  /** A signal each has a thread of its own: the file that was read first must not be carried out last. */
  @Test
  @Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
  void ofTwoReloadsAtOnceTheLaterFileHolds() throws Exception {
    try (FakeServer old = new FakeServer(FakeServer.Connection::next);
        FakeServer next = new FakeServer(FakeServer.Connection::next);
        FakeServer last = new FakeServer(FakeServer.Connection::next);
        ProxyFixture rig = new ProxyFixture(pushed(old), new ScriptedEngine((event, out) -> { }))) {
      Thread second = new Thread(() -> rig.server.reload(() -> pushed(last)));
      rig.server.reload(() -> {
        second.start();
        // The second signal's thread has either carried out its file, or waits for this one to be through.
        while (second.getState() != Thread.State.BLOCKED && second.getState() != Thread.State.TERMINATED) {
          Thread.onSpinWait();
        }
        return pushed(next);
      });
      second.join();
      // Carried out last it would be watched from here on: its agents end every watch, and each end brings the next one.
      last.requests.clear();
      assertNotNull(last.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }
}
