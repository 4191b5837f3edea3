package loadbalancer.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.Balancer.FetchList;
import loadbalancer.Balancer.ListKind;
import loadbalancer.Balancer.ListNews;
import loadbalancer.Balancer.Listed;
import loadbalancer.Balancer.Watch;
import loadbalancer.Logic;
import loadbalancer.serve.Rig.Script;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The list and its changes, and that no failure of discovery goes unnoticed. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class DiscoveryTest {

  private static final String A = Rig.member("s-a", "127.0.0.1:1", "ready");

  private static Script watching() {
    return new Script((event, out) -> {
      if (event instanceof ListNews n && n.kind() == ListKind.CACHED) {
        out.accept(new Watch(true));
      }
    });
  }

  private static Rig rig(StubServer discovery, String mode, Script module) throws IOException {
    return new Rig(Rig.config(discovery.address(), Rig.list(41, true, A), mode, 200, 1024, ""), module);
  }

  private static String word(ListNews news) {
    List<Listed> entries = news.entries();
    return news.kind() + " " + entries.size() + (entries.isEmpty() ? "" : " " + entries.get(0).state());
  }

  @Test
  void aWatchTellsEveryLineAndItsEnd() throws Exception {
    Script module = watching();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      String gone = Discoveries.chunk(Rig.list(43, false, Rig.member("s-a", "127.0.0.1:1", "gone")));
      c.write(Discoveries.watch(Rig.list(42, true, A, Rig.member("s-b", "127.0.0.1:2", "draining"))));
      c.write(Discoveries.chunk(""));
      c.write(gone.substring(0, 20));
      c.write(gone.substring(20));
    }); Rig rig = rig(discovery, "on_request", module)) {
      assertEquals("CACHED 1 READY", word(module.next(ListNews.class)));
      assertEquals("FULL 2 READY", word(module.next(ListNews.class)));
      assertEquals("DELTA 1 GONE", word(module.next(ListNews.class)));
      assertEquals("FAILED 0", word(module.next(ListNews.class)));
      assertTrue(discovery.requests.take().startsWith("GET /v1/servers?follow=1&since=41 HTTP/1.1\r\n"));
    }
  }

  /** Lists may come indented, over several lines, within a watch as well: each was taken for many broken ones. */
  @Test
  void aWatchTellsListsThatTakeSeveralLines() throws Exception {
    Script module = watching();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      c.write(Discoveries.watch(indented(Rig.list(42, true, A, Rig.member("s-b", "127.0.0.1:2", "draining")))));
      c.write(Discoveries.chunk(""));
      for (String line : indented(Rig.list(43, false, Rig.member("NAME", "127.0.0.1:1", "gone"))).split("\n")) {
        c.write(Discoveries.chunk(line.replace("NAME", "s-a}{\\\"")));
      }
      String two = Rig.list(44, false, A);
      c.write(Discoveries.chunk(two + two.replace("44", "45").replace("ready", "draining")));
      c.next();
    }); Rig rig = rig(discovery, "on_request", module)) {
      assertEquals("CACHED 1 READY", word(module.next(ListNews.class)));
      assertEquals("FULL 2 READY", word(module.next(ListNews.class)));
      assertEquals("DELTA 1 GONE", word(module.next(ListNews.class)), "a name with braces and a quote");
      assertEquals("DELTA 1 READY", word(module.next(ListNews.class)));
      assertEquals("DELTA 1 DRAINING", word(module.next(ListNews.class)), "two on one line");
    }
  }

  private static String indented(String list) {
    return list.replace("{", "{\n  ").replace(",\"", ",\n\n  \"").replace("}", "\n  }");
  }

  /** The empty lines go on coming, so that silence does not tell. */
  @Test
  void aListThatIsCutOffWithinAWatchHasFailed() throws Exception {
    Script module = watching();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      c.write(Discoveries.watch(Rig.list(42, false, A).substring(0, 60)));
      while (true) {
        c.write(Discoveries.chunk(""));
        Thread.sleep(20);
      }
    }); Rig rig = rig(discovery, "on_request", module)) {
      module.next(ListNews.class);
      assertEquals("FAILED 0", word(module.next(ListNews.class)));
    }
  }

  /** Lists come one after the other, each in one piece with the beginning of the next: none of them is cut off. */
  @Test
  void listsThatOverlapInTheirPiecesAreNotCutOff() throws Exception {
    Script module = watching();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      String rest = Rig.list(42, false, A);
      c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      for (int revision = 43; revision < 43 + 15; revision++) {
        String next = Rig.list(revision, false, A);
        c.write(Discoveries.chunk(rest + next.substring(0, 15)));
        rest = next.substring(15);
        Thread.sleep(100);
      }
      c.write(Discoveries.chunk(rest));
      c.ends();
    }); Rig rig = rig(discovery, "on_request", module)) {
      module.next(ListNews.class);
      for (int i = 0; i < 16; i++) {
        assertEquals("DELTA 1 READY", word(module.next(ListNews.class)));
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
    Script module = watching();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      c.write(answer.replace("~", "\r\n"));
    }); Rig rig = rig(discovery, "on_request", module)) {
      module.next(ListNews.class);
      assertEquals("FAILED 0", word(module.next(ListNews.class)));
    }
  }

  @Test
  void aWatchThatFallsSilentHasFailed() throws Exception {
    Script module = watching();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      c.write(Discoveries.watch(Rig.list(42, false, A)));
      c.next();
    }); Rig rig = rig(discovery, "on_request", module)) {
      module.next(ListNews.class);
      assertEquals("DELTA 1 READY", word(module.next(ListNews.class)));
      assertEquals("FAILED 0", word(module.next(ListNews.class)));
      assertTrue(discovery.connections.take().ends());
    }
  }

  /**
   * What silence hides counts as told after 6 s. The watch that replaces the silent one connects, and is dead as well; on this
   * the news came after more than 9 s.
   */
  @Test
  void newsBehindTwoSilentWatchesComesBeforeItCountsAsTold() throws Exception {
    Script module = new Script((event, out) -> { });
    AtomicInteger watches = new AtomicInteger();
    AtomicLong silentAt = new AtomicLong();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      switch (watches.incrementAndGet()) {
        case 1 -> {
          c.write(Discoveries.watch(Rig.list(42, true, A)));
          silentAt.set(System.nanoTime());
        }
        case 2 -> c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        default -> c.write(Discoveries.watch(Rig.list(43, false, Rig.member("s-a", "127.0.0.1:1", "draining"))));
      }
      c.ends();
    }); Rig rig = rig(discovery, "pushed", module)) {
      assertEquals("CACHED 1 READY", word(module.next(ListNews.class)));
      assertEquals("FULL 1 READY", word(module.next(ListNews.class)));
      assertEquals("DELTA 1 DRAINING", word(module.next(ListNews.class)));
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
    long check = Discovery.SILENCE_CHECK_MILLIS;
    // A watch falls silent with the change, the one that replaces it is as dead (where lists are pushed the next one too).
    long silent = Discovery.SILENCE_MILLIS + check;
    for (int dead = 0; dead < (pushed ? 2 : 1); dead++) {
      silent += backoffMillis(pushed, dead) + Discovery.patienceMillis(pushed, dead) + check;
    }
    silent += backoffMillis(pushed, pushed ? 2 : 1);
    assertTrue(silent + spareMillis <= Discovery.TOLD_MILLIS, "silent watches: " + silent + " ms");
    // A list is cut off, and the same again.
    long cut = 2 * (Discovery.WHOLE_MILLIS + check) + backoffMillis(pushed, 0) + backoffMillis(pushed, 1);
    assertTrue(cut + spareMillis <= Discovery.TOLD_MILLIS, "lists cut off: " + cut + " ms");
    // After a long outage: the last call that is lost began just before discovery could be reached.
    long outage = Discovery.patienceMillis(pushed, 20) + check + backoffMillis(pushed, 20);
    assertTrue(outage + 2 * spareMillis <= Discovery.TOLD_MILLIS, "outage: " + outage + " ms");
  }

  private static long backoffMillis(boolean pushed, int failures) {
    return pushed ? Server.agentBackoffMillis(failures) : TimeUnit.NANOSECONDS.toMillis(Logic.askBackoff(failures));
  }

  /** How a call fails. */
  private enum Failure {
    MUTE(StubServer.Connection::ends),
    HALF_A_HEAD(c -> {
      c.write("HTTP/1.1 200 OK\r\nTransfer-");
      c.ends();
    }),
    NO_LIST(c -> {
      c.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      while (true) {
        c.write(Discoveries.chunk(""));
        Thread.sleep(200);
      }
    }),
    CUT_OFF(c -> {
      c.write(Discoveries.watch(Rig.list(42, true, A).substring(0, 60)));
      c.ends();
    }),
    CLOSED(c -> { }),
    RESET(StubServer.Connection::reset),
    REFUSED(c -> c.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")),
    MALFORMED(c -> c.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot JSON\n"));

    private final StubServer.Script call;

    Failure(StubServer.Script call) {
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
        long millis = one.getValue().get(Rig.LIMIT_S, TimeUnit.SECONDS);
        assertTrue(millis < Discovery.TOLD_MILLIS - 1000, one.getKey() + ": the news came after " + millis + " ms");
      }
    } finally {
      cases.shutdownNow();
    }
  }

  private static long millisToNews(Failure failure, int times, String mode) throws Exception {
    AtomicInteger calls = new AtomicInteger();
    AtomicLong reachableAt = new AtomicLong();
    BlockingQueue<ListNews> told = new LinkedBlockingQueue<>();
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      if (calls.incrementAndGet() <= times) {
        reachableAt.set(System.nanoTime());
        failure.call.run(c);
      } else {
        c.write(Discoveries.watch(Rig.list(43, true, Rig.member("s-a", "127.0.0.1:1", "draining"))));
        c.ends();
      }
    })) {
      Config config = Rig.config(discovery.address(), Rig.list(41, true, A), mode, 200, 1024, "");
      Logic logic = new Logic(config.settings(), config.seed());
      try (Rig rig = new Rig(config, (now, event, out) -> {
        if (event instanceof ListNews n && n.kind() == ListKind.FULL) {
          told.add(n);
        }
        logic.handle(now, event, out);
      })) {
        assertEquals("FULL 1 DRAINING", word(told.poll(Rig.LIMIT_S, TimeUnit.SECONDS)));
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reachableAt.get());
      }
    }
  }

  @Test
  void theListIsFetchedOnce() throws Exception {
    Script module = new Script((event, out) -> {
      if (event instanceof ListNews n && n.kind() == ListKind.CACHED) {
        out.accept(new FetchList());
      }
    });
    try (StubServer discovery = StubServer.answering(StubServer.ok(Rig.list(50, true, A)));
        Rig rig = rig(discovery, "on_request", module)) {
      module.next(ListNews.class);
      assertEquals("FULL 1 READY", word(module.next(ListNews.class)));
      assertTrue(discovery.requests.take().startsWith("GET /v1/servers HTTP/1.1\r\n"));
    }
  }

  @Test
  void whereListsArePushedTheAgentIsFollowedUnasked() throws Exception {
    Script module = new Script((event, out) -> { });
    try (StubServer discovery = new StubServer(c -> {
      c.next();
      c.write(Discoveries.watch(Rig.list(42, false, A)));
    }); Rig rig = rig(discovery, "pushed", module)) {
      module.next(ListNews.class);
      assertEquals("DELTA 1 READY", word(module.next(ListNews.class)));
      assertEquals("DELTA 1 READY", word(module.next(ListNews.class)), "again after the first watch ended");
    }
  }

  @Test
  void startTimesKeepTheirDistanceAndRestartsShow() {
    Clock clock = new Clock();
    long second = TimeUnit.SECONDS.toNanos(1);
    long wall = System.currentTimeMillis();
    assertEquals(0, clock.atUnixMillis(0), "long ago");
    assertEquals(clock.atUnixMillis(wall), clock.atUnixMillis(wall - 1000) + second);
    assertTrue(Math.abs(clock.now() - clock.atUnixMillis(System.currentTimeMillis())) < 60 * second);
    assertTrue(clock.atUnixMillis(1) > 0, "older than the process is not long ago");
  }
}
