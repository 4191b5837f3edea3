package loadbalancer.discovery;

import static loadbalancer.discovery.DiscoveryTestSupport.PUSHED;
import static loadbalancer.discovery.DiscoveryTestSupport.READY_MEMBER;
import static loadbalancer.discovery.DiscoveryTestSupport.WATCH_HEAD;
import static loadbalancer.discovery.DiscoveryTestSupport.describe;
import static loadbalancer.discovery.DiscoveryTestSupport.nextUpdate;
import static loadbalancer.discovery.DiscoveryTestSupport.passiveEngine;
import static loadbalancer.discovery.DiscoveryTestSupport.proxy;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.EnumMap;
import java.util.Map;
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
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.RecordingEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that an update arrives before the update deadline after failures of any kind. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
@SuppressWarnings("try") // The proxy runs while the test reads the events of its engine.
class DiscoveryRecoveryTest {

  private static final String DRAINING_MEMBER = DiscoveryTestSupport.member("draining");

  /**
   * A watch falls silent, and the watch that replaces it connects but receives no list. With longer
   * timeouts an update took more than 9 s in this case.
   */
  @Test
  void updateArrivesInTimeAfterTwoSilentWatches() throws Exception {
    ScriptedEngine engine = passiveEngine();
    AtomicInteger watchCount = new AtomicInteger();
    AtomicLong silentAtNanos = new AtomicLong();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          switch (watchCount.incrementAndGet()) {
            case 1 -> {
              connection.write(
                  DiscoveryMessages.watchResponse(
                      ProxyFixture.endpointListJson(42, true, READY_MEMBER)));
              silentAtNanos.set(System.nanoTime());
            }
            case 2 -> connection.write(WATCH_HEAD);
            default ->
                connection.write(
                    DiscoveryMessages.watchResponse(
                        ProxyFixture.endpointListJson(43, false, DRAINING_MEMBER)));
          }
          connection.awaitClose();
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, PUSHED, engine)) {
      assertEquals("CACHED 1 READY", nextUpdate(engine));
      assertEquals("FULL 1 READY", nextUpdate(engine));
      assertEquals("DELTA 1 DRAINING", nextUpdate(engine));
      long elapsedMillis = millisSince(silentAtNanos);
      assertTrue(elapsedMillis < 6000, "the update took " + elapsedMillis + " ms");
      assertEquals(3, watchCount.get());
    }
  }

  private static long millisSince(AtomicLong nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos.get());
  }

  /** A failing discovery call, with the server's behavior that makes it fail. */
  private enum FailingCall {
    SILENT(FakeServer.Connection::awaitClose),
    INCOMPLETE_HEADERS(
        connection -> {
          connection.write("HTTP/1.1 200 OK\r\nTransfer-");
          connection.awaitClose();
        }),
    NO_LIST(
        connection -> {
          connection.write(WATCH_HEAD);
          while (true) {
            connection.write(DiscoveryMessages.chunk(""));
            Thread.sleep(200);
          }
        }),
    INCOMPLETE_LIST(
        connection -> {
          String partialList =
              ProxyFixture.endpointListJson(42, true, READY_MEMBER).substring(0, 60);
          connection.write(DiscoveryMessages.watchResponse(partialList));
          connection.awaitClose();
        }),
    CLOSED(connection -> {}),
    RESET(FakeServer.Connection::reset),
    UNAVAILABLE(
        connection ->
            connection.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")),
    MALFORMED(
        connection -> connection.write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nnot JSON\n"));

    @SuppressWarnings("ImmutableEnumChecker") // The scripts are stateless.
    private final FakeServer.Script script;

    FailingCall(FakeServer.Script script) {
      this.script = script;
    }
  }

  /** Four calls fail. An update is available from the start of the last failing call on. */
  @ParameterizedTest
  @CsvSource({"pushed", "on_request"})
  void updateArrivesInTimeAfterFailuresOfAnyKind(String mode) throws Exception {
    ExecutorService executor = Executors.newCachedThreadPool();
    try {
      Map<FailingCall, Future<Long>> results = new EnumMap<>(FailingCall.class);
      for (FailingCall failingCall : FailingCall.values()) {
        results.put(
            failingCall, executor.submit(() -> measureMillisToUpdate(failingCall, 4, mode)));
      }
      for (Map.Entry<FailingCall, Future<Long>> result : results.entrySet()) {
        long millis = result.getValue().get(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertTrue(
            millis < DiscoveryTimeouts.UPDATE_DEADLINE_MILLIS - 1000,
            result.getKey() + ": the update took " + millis + " ms");
      }
    } finally {
      executor.shutdownNow();
    }
  }

  private static long measureMillisToUpdate(FailingCall failingCall, int failureCount, String mode)
      throws Exception {
    AtomicInteger callCount = new AtomicInteger();
    AtomicLong lastFailureStartNanos = new AtomicLong();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          if (callCount.incrementAndGet() <= failureCount) {
            lastFailureStartNanos.set(System.nanoTime());
            failingCall.script.run(connection);
          } else {
            connection.write(
                DiscoveryMessages.watchResponse(
                    ProxyFixture.endpointListJson(43, true, DRAINING_MEMBER)));
            connection.awaitClose();
          }
        };
    try (FakeServer discovery = new FakeServer(script)) {
      BalancerConfig config = DiscoveryTestSupport.config(discovery, mode);
      RecordingEngine engine = new RecordingEngine(config, UpdateKind.FULL);
      try (ProxyFixture proxy = new ProxyFixture(config, engine)) {
        assertEquals("FULL 1 DRAINING", describe(engine.awaitUpdate()));
        return millisSince(lastFailureStartNanos);
      }
    }
  }
}
