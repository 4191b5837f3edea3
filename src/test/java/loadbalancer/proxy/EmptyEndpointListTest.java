package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.RecordingEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against sends to endpoints that a complete list without members omits. Such a list was
 * ignored, so the last endpoint of a fleet that was replaced in steps stayed in use for good.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class EmptyEndpointListTest {

  private static final int REQUESTS = 20;
  private static final String EMPTY_LIST = ProxyFixture.endpointListJson(43, true);

  private final CountDownLatch isFirstWatchEnding = new CountDownLatch(1);
  private final CountDownLatch isReplacementAdded = new CountDownLatch(1);

  private static RecordingEngine recordingEngine(BalancerConfig config) {
    return new RecordingEngine(config, UpdateKind.CACHED, UpdateKind.FULL, UpdateKind.DELTA);
  }

  private static void assertNextUpdate(RecordingEngine engine, UpdateKind kind, int endpoints)
      throws InterruptedException {
    EndpointListUpdate update = engine.awaitUpdate();
    assertEquals(kind + " " + endpoints, update.kind() + " " + update.endpoints().size());
  }

  /**
   * Returns a discovery whose first watch lists one endpoint and ends without a further list. The
   * next watch begins with the empty list, and later adds the replacement.
   */
  private FakeServer discovery(String member, String replacement) throws IOException {
    AtomicInteger watchCount = new AtomicInteger();
    return new FakeServer(
        connection -> {
          connection.readRequest();
          if (watchCount.incrementAndGet() == 1) {
            connection.write(
                DiscoveryMessages.watchResponse(ProxyFixture.endpointListJson(42, true, member)));
            isFirstWatchEnding.await();
          } else {
            connection.write(DiscoveryMessages.watchResponse(EMPTY_LIST));
            isReplacementAdded.await();
            connection.write(
                DiscoveryMessages.chunk(ProxyFixture.endpointListJson(44, false, replacement)));
            connection.awaitClose();
          }
        });
  }

  private static BalancerConfig config(FakeServer discovery, String mode, String member)
      throws IOException {
    String known = ProxyFixture.endpointListJson(41, true, member);
    // With a shorter latency objective, requests that find no endpoint wait for a shorter time.
    String text =
        ProxyFixture.configText(discovery.address(), known, mode, 200, 1024, "")
            .replace("\"aim-ns\":20000000000", "\"aim-ns\":400000000");
    return BalancerConfig.parse(text, Map.of());
  }

  private static String exchange(Client client, String traceId) throws IOException {
    return client.exchange(ProxyFixture.get(traceId, ""));
  }

  @ParameterizedTest
  @CsvSource({"pushed", "on_request"})
  void sendsNothingToTheEndpointsThatAnEmptyCompleteListOmits(String mode) throws Exception {
    try (FakeServer omitted = FakeServer.respondingWith(FakeServer.ok("omitted"));
        FakeServer replacement = FakeServer.respondingWith(FakeServer.ok("replacement"))) {
      String omittedMember = ProxyFixture.endpointJson("s-0", omitted.address(), "ready");
      String replacementMember = ProxyFixture.endpointJson("s-1", replacement.address(), "ready");
      try (FakeServer discovery = discovery(omittedMember, replacementMember)) {
        BalancerConfig config = config(discovery, mode, omittedMember);
        RecordingEngine engine = recordingEngine(config);
        try (ProxyFixture proxy = new ProxyFixture(config, engine);
            Client client = proxy.client()) {
          assertNextUpdate(engine, UpdateKind.CACHED, 1);
          assertNextUpdate(engine, UpdateKind.FULL, 1);
          assertTrue(exchange(client, "t-before").endsWith("\r\n\r\nomitted"));
          isFirstWatchEnding.countDown();
          assertNextUpdate(engine, UpdateKind.FULL, 0);
          omitted.requests.clear();
          String rejection = exchange(client, "t-between");
          assertTrue(rejection.startsWith("HTTP/1.1 429 "), rejection);
          isReplacementAdded.countDown();
          assertNextUpdate(engine, UpdateKind.DELTA, 1);
          for (int i = 0; i < REQUESTS; i++) {
            String response = exchange(client, "t-after" + i);
            assertTrue(response.endsWith("\r\n\r\nreplacement"), response);
          }
          assertTrue(omitted.requests.isEmpty(), "the omitted endpoint got a request");
        }
      }
    }
  }

  /** The list applies as well if it comes from another address, after a reload. */
  @Test
  void followsAnEmptyCompleteListFromANewDiscoveryAddress() throws Exception {
    try (FakeServer omitted = FakeServer.respondingWith(FakeServer.ok("omitted"));
        FakeServer newDiscovery =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  connection.write(DiscoveryMessages.watchResponse(EMPTY_LIST));
                  connection.awaitClose();
                })) {
      String member = ProxyFixture.endpointJson("s-0", omitted.address(), "ready");
      try (FakeServer oldDiscovery = discovery(member, member)) {
        BalancerConfig config = config(oldDiscovery, "pushed", member);
        RecordingEngine engine = recordingEngine(config);
        try (ProxyFixture proxy = new ProxyFixture(config, engine);
            Client client = proxy.client()) {
          assertNextUpdate(engine, UpdateKind.CACHED, 1);
          assertNextUpdate(engine, UpdateKind.FULL, 1);
          proxy.server.reload(() -> config(newDiscovery, "pushed", member));
          assertNextUpdate(engine, UpdateKind.FULL, 0);
          String rejection = exchange(client, "t-after");
          assertTrue(rejection.startsWith("HTTP/1.1 429 "), rejection);
          assertTrue(omitted.requests.isEmpty(), "the omitted endpoint got a request");
        }
      }
    }
  }
}
