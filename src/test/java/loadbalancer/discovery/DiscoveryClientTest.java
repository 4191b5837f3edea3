package loadbalancer.discovery;

import loadbalancer.proxy.AgentRetryPolicy;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.DiscoveryPoller;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.Action.FetchEndpoints;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.net.MonotonicClock;
import loadbalancer.proxy.ProxyServer;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The list and its changes, and that no failure of discovery goes unnoticed. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class DiscoveryClientTest {

  private static final String A = ProxyFixture.member("s-a", "127.0.0.1:1", "ready");

  private static ScriptedEngine watching() {
    return new ScriptedEngine((event, out) -> {
      if (event instanceof EndpointListUpdate n && n.kind() == UpdateKind.CACHED) {
        out.accept(new WatchEndpoints(true));
      }
    });
  }

  private static ProxyFixture rig(FakeServer discovery, String mode, ScriptedEngine module) throws IOException {
    return new ProxyFixture(ProxyFixture.config(discovery.address(), ProxyFixture.list(41, true, A), mode, 200, 1024, ""), module);
  }

  private static String word(EndpointListUpdate news) {
    List<Endpoint> entries = news.endpoints();
    return news.kind() + " " + entries.size() + (entries.isEmpty() ? "" : " " + entries.get(0).state());
  }

  @Test
  void aWatchTellsEveryLineAndItsEnd() throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      String gone = DiscoveryMessages.chunk(ProxyFixture.list(43, false, ProxyFixture.member("s-a", "127.0.0.1:1", "gone")));
      c.write(DiscoveryMessages.watch(ProxyFixture.list(42, true, A, ProxyFixture.member("s-b", "127.0.0.1:2", "draining"))));
      c.write(DiscoveryMessages.chunk(""));
      c.write(gone.substring(0, 20));
      c.write(gone.substring(20));
    }); ProxyFixture rig = rig(discovery, "on_request", module)) {
      assertEquals("CACHED 1 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("FULL 2 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("DELTA 1 GONE", word(module.next(EndpointListUpdate.class)));
      assertEquals("FAILED 0", word(module.next(EndpointListUpdate.class)));
      assertTrue(discovery.requests.take().startsWith("GET /v1/servers?follow=1&since=41 HTTP/1.1\r\n"));
    }
  }

  /** Lists may come indented, over several lines, within a watch as well: each was taken for many broken ones. */
  @Test
  void aWatchTellsListsThatTakeSeveralLines() throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(indented(ProxyFixture.list(42, true, A, ProxyFixture.member("s-b", "127.0.0.1:2", "draining")))));
      c.write(DiscoveryMessages.chunk(""));
      for (String line : indented(ProxyFixture.list(43, false, ProxyFixture.member("NAME", "127.0.0.1:1", "gone"))).split("\n")) {
        c.write(DiscoveryMessages.chunk(line.replace("NAME", "s-a}{\\\"")));
      }
      String two = ProxyFixture.list(44, false, A);
      c.write(DiscoveryMessages.chunk(two + two.replace("44", "45").replace("ready", "draining")));
      c.next();
    }); ProxyFixture rig = rig(discovery, "on_request", module)) {
      assertEquals("CACHED 1 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("FULL 2 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("DELTA 1 GONE", word(module.next(EndpointListUpdate.class)), "a name with braces and a quote");
      assertEquals("DELTA 1 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("DELTA 1 DRAINING", word(module.next(EndpointListUpdate.class)), "two on one line");
    }
  }

  private static String indented(String list) {
    return list.replace("{", "{\n  ").replace(",\"", ",\n\n  \"").replace("}", "\n  }");
  }

  /** The empty lines go on coming, so that silence does not tell. */
  @Test
  void aListThatIsCutOffWithinAWatchHasFailed() throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(42, false, A).substring(0, 60)));
      while (true) {
        c.write(DiscoveryMessages.chunk(""));
        Thread.sleep(20);
      }
    }); ProxyFixture rig = rig(discovery, "on_request", module)) {
      module.next(EndpointListUpdate.class);
      assertEquals("FAILED 0", word(module.next(EndpointListUpdate.class)));
    }
  }

  /** Lists come one after the other, each in one piece with the beginning of the next: none of them is cut off. */
  @Test
  void listsThatOverlapInTheirPiecesAreNotCutOff() throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      String rest = ProxyFixture.list(42, false, A);
      c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int revision = 43; revision < 43 + 15; revision++) {
        String next = ProxyFixture.list(revision, false, A);
        c.write(DiscoveryMessages.chunk(rest + next.substring(0, 15)));
        rest = next.substring(15);
        Thread.sleep(100);
      }
      c.write(DiscoveryMessages.chunk(rest));
      c.ends();
    }); ProxyFixture rig = rig(discovery, "on_request", module)) {
      module.next(EndpointListUpdate.class);
      for (int i = 0; i < 16; i++) {
        assertEquals("DELTA 1 READY", word(module.next(EndpointListUpdate.class)));
      }
    }
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "HTTP/1.1 503 Service Unavailable~Content-Length: 0~~",
    "HTTP/1.1 200 OK~Content-Length: 9~~not JSON~",
    "HTTP/1.1 200 OK~Content-Length: 100~~{\"revision\":",
    "''"})
  void everyFailureOfACallIsTold(String answer) throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      c.write(answer.replace("~", "\r\n"));
    }); ProxyFixture rig = rig(discovery, "on_request", module)) {
      module.next(EndpointListUpdate.class);
      assertEquals("FAILED 0", word(module.next(EndpointListUpdate.class)));
    }
  }

  @Test
  void aWatchThatFallsSilentHasFailed() throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(42, false, A)));
      c.next();
    }); ProxyFixture rig = rig(discovery, "on_request", module)) {
      module.next(EndpointListUpdate.class);
      assertEquals("DELTA 1 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("FAILED 0", word(module.next(EndpointListUpdate.class)));
      assertTrue(discovery.connections.take().ends());
    }
  }

  /**
   * What silence hides counts as told after 6 s. The watch that replaces the silent one connects, and is dead as well; on this
   * the news came after more than 9 s.
   */
  @Test
  void newsBehindTwoSilentWatchesComesBeforeItCountsAsTold() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> { });
    AtomicInteger watches = new AtomicInteger();
    AtomicLong silentAt = new AtomicLong();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      switch (watches.incrementAndGet()) {
        case 1 -> {
          c.write(DiscoveryMessages.watch(ProxyFixture.list(42, true, A)));
          silentAt.set(System.nanoTime());
        }
        case 2 -> c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        default -> c.write(DiscoveryMessages.watch(ProxyFixture.list(43, false, ProxyFixture.member("s-a", "127.0.0.1:1", "draining"))));
      }
      c.ends();
    }); ProxyFixture rig = rig(discovery, "pushed", module)) {
      assertEquals("CACHED 1 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("FULL 1 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("DELTA 1 DRAINING", word(module.next(EndpointListUpdate.class)));
      long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - silentAt.get());
      assertTrue(tookMillis < 6000, "the news came after " + tookMillis + " ms");
      assertEquals(3, watches.get());
    }
  }

  /**
   * The worst chains from a change to its being told, of the constants themselves; each time-out ends at the next check. What is
   * left of the 6 s is for a busy loop and, where lists are asked for, for the service's queue.
   */
  @ParameterizedTest
  @CsvSource({"true,1000", "false,800"})
  void noChainOfTimeOutsAndBackoffsComesNearToWhatCountsAsTold(boolean pushed, long spareMillis) {
    long check = DiscoveryClient.SILENCE_CHECK_MILLIS;
    // A watch falls silent with the change, the one that replaces it is as dead (where lists are pushed the next one too).
    long silent = DiscoveryClient.SILENCE_MILLIS + check;
    for (int dead = 0; dead < (pushed ? 2 : 1); dead++) {
      silent += backoffMillis(pushed, dead) + DiscoveryClient.patienceMillis(pushed, dead) + check;
    }
    silent += backoffMillis(pushed, pushed ? 2 : 1);
    assertTrue(silent + spareMillis <= DiscoveryClient.TOLD_MILLIS, "silent watches: " + silent + " ms");
    // A list is cut off, and the same again.
    long cut = 2 * (DiscoveryClient.WHOLE_MILLIS + check) + backoffMillis(pushed, 0) + backoffMillis(pushed, 1);
    assertTrue(cut + spareMillis <= DiscoveryClient.TOLD_MILLIS, "lists cut off: " + cut + " ms");
    // After a long outage: the last call that is lost began just before discovery could be reached.
    long outage = DiscoveryClient.patienceMillis(pushed, 20) + check + backoffMillis(pushed, 20);
    assertTrue(outage + 2 * spareMillis <= DiscoveryClient.TOLD_MILLIS, "outage: " + outage + " ms");
  }

  private static long backoffMillis(boolean pushed, int failures) {
    return pushed ? AgentRetryPolicy.backoffMillis(failures) : TimeUnit.NANOSECONDS.toMillis(DiscoveryPoller.pollBackoffNanos(failures));
  }

  /** How a call fails. */
  private enum Failure {
    MUTE(FakeServer.Connection::ends),
    HALF_A_HEAD(c -> {
      c.write("HTTP/1.1 200 OK\r\nTransfer-");
      c.ends();
    }),
    NO_LIST(c -> {
      c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (true) {
        c.write(DiscoveryMessages.chunk(""));
        Thread.sleep(200);
      }
    }),
    CUT_OFF(c -> {
      c.write(DiscoveryMessages.watch(ProxyFixture.list(42, true, A).substring(0, 60)));
      c.ends();
    }),
    CLOSED(c -> { }),
    RESET(FakeServer.Connection::reset),
    REFUSED(c -> c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")),
    MALFORMED(c -> c.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot JSON\n"));

    private final FakeServer.Script call;

    Failure(FakeServer.Script call) {
      this.call = call;
    }
  }

  /** Calls fail several times in a row; discovery has news and can be reached from right after the last of them began. */
  @ParameterizedTest
  @CsvSource({"pushed", "on_request"})
  void newsComesInTimeWhateverFailedBefore(String mode) throws Exception {
    ExecutorService cases = Executors.newCachedThreadPool();
    try {
      Map<Failure, Future<Long>> took = new EnumMap<>(Failure.class);
      for (Failure failure : Failure.values()) {
        took.put(failure, cases.submit(() -> millisToNews(failure, 4, mode)));
      }
      for (Map.Entry<Failure, Future<Long>> one : took.entrySet()) {
        long millis = one.getValue().get(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(millis < DiscoveryClient.TOLD_MILLIS - 1000, one.getKey() + ": the news came after " + millis + " ms");
      }
    } finally {
      cases.shutdownNow();
    }
  }

  private static long millisToNews(Failure failure, int times, String mode) throws Exception {
    AtomicInteger calls = new AtomicInteger();
    AtomicLong reachableAt = new AtomicLong();
    BlockingQueue<EndpointListUpdate> told = new LinkedBlockingQueue<>();
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      if (calls.incrementAndGet() <= times) {
        reachableAt.set(System.nanoTime());
        failure.call.run(c);
      } else {
        c.write(DiscoveryMessages.watch(ProxyFixture.list(43, true, ProxyFixture.member("s-a", "127.0.0.1:1", "draining"))));
        c.ends();
      }
    })) {
      BalancerConfig config = ProxyFixture.config(discovery.address(), ProxyFixture.list(41, true, A), mode, 200, 1024, "");
      LoadBalancingEngine logic = new LoadBalancingEngine(config.settings(), config.seed());
      try (ProxyFixture rig = new ProxyFixture(config, (now, event, out) -> {
        if (event instanceof EndpointListUpdate n && n.kind() == UpdateKind.FULL) {
          told.add(n);
        }
        logic.handle(now, event, out);
      })) {
        assertEquals("FULL 1 DRAINING", word(told.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS)));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reachableAt.get());
      }
    }
  }

  @Test
  void theListIsFetchedOnce() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof EndpointListUpdate n && n.kind() == UpdateKind.CACHED) {
        out.accept(new FetchEndpoints());
      }
    });
    try (FakeServer discovery = FakeServer.answering(FakeServer.ok(ProxyFixture.list(50, true, A)));
        ProxyFixture rig = rig(discovery, "on_request", module)) {
      module.next(EndpointListUpdate.class);
      assertEquals("FULL 1 READY", word(module.next(EndpointListUpdate.class)));
      assertTrue(discovery.requests.take().startsWith("GET /v1/servers HTTP/1.1\r\n"));
    }
  }

  @Test
  void whereListsArePushedTheAgentIsFollowedUnasked() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> { });
    try (FakeServer discovery = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(42, false, A)));
    }); ProxyFixture rig = rig(discovery, "pushed", module)) {
      module.next(EndpointListUpdate.class);
      assertEquals("DELTA 1 READY", word(module.next(EndpointListUpdate.class)));
      assertEquals("DELTA 1 READY", word(module.next(EndpointListUpdate.class)), "again after the first watch ended");
    }
  }

  @Test
  void startTimesKeepTheirDistanceAndRestartsShow() {
    MonotonicClock clock = new MonotonicClock();
    long second = TimeUnit.SECONDS.toNanos(1);
    long wall = System.currentTimeMillis();
    assertEquals(0, clock.nanosAtUnixMillis(0), "long ago");
    assertEquals(clock.nanosAtUnixMillis(wall), clock.nanosAtUnixMillis(wall - 1000) + second);
    assertTrue(Math.abs(clock.nowNanos() - clock.nanosAtUnixMillis(System.currentTimeMillis())) < 60 * second);
    assertTrue(clock.nanosAtUnixMillis(1) > 0, "older than the process is not long ago");
  }
}
