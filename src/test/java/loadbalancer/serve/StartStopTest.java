package loadbalancer.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.Balancer.ListKind;
import loadbalancer.Balancer.ListNews;
import loadbalancer.Balancer.Settings;
import loadbalancer.Balancer.State;
import loadbalancer.serve.Rig.Script;
import loadbalancer.serve.Warmup.Count;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class StartStopTest {

  private static Settings settings() throws IOException {
    return Config.read(Map.of("ROUTER_CONFIG", "deploy/example.json")).settings();
  }

  /** Bounded by the clock it made 17 of its 2,000 requests at half a core, and left the code cold. */
  @Test
  void allItsRequestsAreAnsweredHoweverLongThatTakes() throws IOException {
    assertEquals(Warmup.MOST_REQUESTS, Warmup.run(settings(), TimeUnit.MINUTES.toMillis(1)).answered());
  }

  /** With 200 requests for each a restart of most of a large fleet was an outage of three seconds, of which these were one. */
  @Test
  void oneOfManyIsReadySoonerThanOneThatHasMuchToServe() throws IOException {
    assertEquals(42, Warmup.run(shared("985", 14), TimeUnit.MINUTES.toMillis(1)).answered());
    assertEquals(180, Warmup.requests(shared("600", 2)));
    assertEquals(Warmup.LEAST_REQUESTS, Warmup.requests(shared("100", 14)));
    assertEquals(Warmup.MOST_REQUESTS, Warmup.requests(shared("0", 14)), "no quota stated");
  }

  private static Settings shared(String quota, int balancers) throws IOException {
    String text = Files.readString(Path.of("deploy/example.json")).replace("100000.0", quota)
        .replace("\"group-size\": 1", "\"group-size\": " + balancers);
    return Config.parse(text, Map.of()).settings();
  }

  /** Once cut short its clients went on for seconds, refused by a balancer whose upstream was closed. */
  @Test
  void cutShortItAsksNothingMore() throws IOException {
    Count count = Warmup.run(settings(), 0);
    assertTrue(count.asked() < Warmup.MOST_REQUESTS, () -> "went on after its end: " + count);
  }

  /** A third of its attempts was taken for broken, and its upstreams were left out: with long aims nothing is refused else. */
  @Test
  void itsUpstreamsServeAll() throws IOException {
    Settings settings = Rig.config("127.0.0.1:1", Rig.list(1, true)).settings();
    Count count = Warmup.run(settings, TimeUnit.MINUTES.toMillis(1));
    assertEquals(new Count(Warmup.MOST_REQUESTS, Warmup.MOST_REQUESTS, Warmup.MOST_REQUESTS), count);
  }

  /** SIGKILL may come 0.7 s after the longest deadline, counted from SIGTERM: all has its answer by then. */
  @Test
  void whatIsInHandIsAnsweredBeforeTheProcessMayBeKilled() throws IOException {
    String text = Rig.text("127.0.0.1:1", Rig.list(1, true), "on_request", 200, 1024, "");
    Settings brief = Config.parse(text.replace("40000000000", "1940000000"), Map.of()).settings();
    assertTrue(Server.stopMillis(brief) < 1940 + 700);
    assertTrue(Server.stopMillis(Config.parse(text, Map.of()).settings()) < 3000 + 700);
  }

  private static final String A = Rig.member("s-a", "127.0.0.1:1", "ready");

  private static Config pushed(StubServer discovery) throws IOException {
    return Rig.config(discovery.address(), Rig.list(1, true, A), "pushed", 200, 1024, "");
  }

  /**
   * What discovery has counts as told from a process's first moment. A start that did not wait for it sent its first requests
   * to what the old list still called ready.
   */
  @Test
  @Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
  void aStartWaitsForWhatDiscoveryHasToTell() throws Exception {
    Script module = new Script((event, out) -> { });
    CountDownLatch prepared = new CountDownLatch(1);
    AtomicBoolean early = new AtomicBoolean();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      early.set(prepared.await(Discovery.AGENT_MILLIS / 2, TimeUnit.MILLISECONDS));
      c.write(Discoveries.watch(Rig.list(2, false, Rig.member("s-a", "127.0.0.1:1", "draining"))));
      c.ends();
    })) {
      Server server = Server.prepare(pushed(discovery), n -> module, TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
      prepared.countDown();
      assertEquals(ListKind.CACHED, module.next(ListNews.class).kind());
      assertEquals(State.DRAINING, module.next(ListNews.class).entries().get(0).state());
      server.shutDown();
    }
    assertFalse(early.get(), "ready before the list came");
  }

  /** Discovery is down: its agent is silent, and the service goes on with what was known. */
  @Test
  @Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
  void withoutDiscoveryItStartsWithTheListThatWasKnown() throws Exception {
    Script module = new Script(TimeUnit.SECONDS.toNanos(30));
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      c.ends();
    })) {
      Server server = Server.prepare(pushed(discovery), n -> module, 100);
      server.listen();
      try (Rig.Client client = new Rig.Client(server)) {
        assertTrue(client.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200 "));
      } finally {
        server.shutDown();
      }
    }
  }

  /** A signal each has a thread of its own: the file that was read first must not be carried out last. */
  @Test
  @Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
  void ofTwoReloadsAtOnceTheLaterFileHolds() throws Exception {
    try (StubServer old = new StubServer(StubServer.Connection::next);
        StubServer next = new StubServer(StubServer.Connection::next);
        StubServer last = new StubServer(StubServer.Connection::next);
        Rig rig = new Rig(pushed(old), new Script((event, out) -> { }))) {
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
      assertNotNull(last.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
    }
  }
}
