package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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
import loadbalancer.proxy.WarmUp.Result;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The warm-up and the wait for discovery at the start. */
class StartupTest {

  private static final long LONG_MILLIS = TimeUnit.MINUTES.toMillis(1);
  private static final String READY = ProxyFixture.endpointJson("s-a", "127.0.0.1:1", "ready");
  private static final String DRAINING =
      ProxyFixture.endpointJson("s-a", "127.0.0.1:1", "draining");

  private static Settings settings() throws IOException {
    return BalancerConfig.read(Map.of("ROUTER_CONFIG", "deploy/example.json")).settings();
  }

  /**
   * Returns the settings of one of the given number of instances, with one tenant that has the
   * given quota per second.
   */
  private static Settings settings(String quota, int instances) throws IOException {
    String text =
        Files.readString(Path.of("deploy/example.json"))
            .replace("100000.0", quota)
            .replace("\"group-size\": 1", "\"group-size\": " + instances);
    return BalancerConfig.parse(text, Map.of()).settings();
  }

  private static BalancerConfig pushedConfig(FakeServer discovery) throws IOException {
    return ProxyFixture.config(
        discovery.address(),
        ProxyFixture.endpointListJson(1, true, READY),
        "pushed",
        200,
        1024,
        "");
  }

  /**
   * A warm-up that was limited by time served 17 of 2,000 requests at half a core, and left the
   * code uncompiled.
   */
  @Test
  void warmUpServesAllItsRequestsHoweverLongThatTakes() throws IOException {
    assertEquals(WarmUp.MAX_REQUESTS, WarmUp.run(settings(), LONG_MILLIS).answered());
  }

  /**
   * With 200 requests for each instance, a restart of most of a large fleet was an outage of 3 s,
   * of which the warm-up took 1 s.
   */
  @Test
  void warmUpSendsFewerRequestsWhenLessTrafficIsExpected() throws IOException {
    assertEquals(42, WarmUp.run(settings("985", 14), LONG_MILLIS).answered());
    assertEquals(180, WarmUp.requestCount(settings("600", 2)));
    assertEquals(WarmUp.MIN_REQUESTS, WarmUp.requestCount(settings("100", 14)));
    assertEquals(WarmUp.MAX_REQUESTS, WarmUp.requestCount(settings("0", 14)), "no quota stated");
  }

  /**
   * Clients that are not stopped keep sending for seconds after the end of the warm-up, and are
   * rejected by a proxy whose upstream is closed.
   */
  @Test
  void warmUpThatIsCutShortSendsNothingMore() throws IOException {
    Result result = WarmUp.run(settings(), 0);
    assertTrue(result.sent() < WarmUp.MAX_REQUESTS, () -> "sent more after the end: " + result);
  }

  /**
   * Responses that arrive before the write of their request is known to be complete count as
   * resets. A third of the attempts did, and the endpoints were ejected. The latency objectives are
   * long, so that nothing else keeps a request from being served.
   */
  @Test
  void warmUpEndpointsServeEveryRequest() throws IOException {
    Settings settings =
        ProxyFixture.config("127.0.0.1:1", ProxyFixture.endpointListJson(1, true)).settings();
    Result result = WarmUp.run(settings, LONG_MILLIS);
    assertEquals(new Result(WarmUp.MAX_REQUESTS, WarmUp.MAX_REQUESTS, WarmUp.MAX_REQUESTS), result);
  }

  /**
   * Discovery's list applies from the start of the process on. A start that does not wait for it
   * sends its first requests to endpoints that only the old list calls ready.
   */
  @Test
  @Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
  void waitsForDiscoveryBeforeItListens() throws Exception {
    ScriptedEngine engine = new ScriptedEngine((event, actions) -> {});
    CountDownLatch prepared = new CountDownLatch(1);
    AtomicBoolean isPreparedEarly = new AtomicBoolean();
    try (FakeServer discovery =
        new FakeServer(
            connection -> {
              connection.readRequest();
              isPreparedEarly.set(
                  prepared.await(
                      DiscoveryClient.AGENT_FIRST_LIST_TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS));
              connection.write(
                  DiscoveryMessages.watchResponse(
                      ProxyFixture.endpointListJson(2, false, DRAINING)));
              connection.awaitClose();
            })) {
      ProxyServer proxy =
          ProxyServer.prepare(
              pushedConfig(discovery),
              generation -> engine,
              TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
      prepared.countDown();
      assertEquals(UpdateKind.CACHED, engine.awaitEvent(EndpointListUpdate.class).kind());
      EndpointListUpdate update = engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(EndpointState.DRAINING, update.endpoints().get(0).state());
      proxy.shutDownNow();
    }
    assertFalse(isPreparedEarly.get(), "ready before the list arrived");
  }

  /**
   * Discovery is down and its agent is silent: the proxy serves with the list of the configuration.
   */
  @Test
  @Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
  void startsWithTheKnownListWithoutDiscovery() throws Exception {
    ScriptedEngine engine = new ScriptedEngine(TimeUnit.SECONDS.toNanos(30));
    try (FakeServer discovery =
        new FakeServer(
            connection -> {
              connection.readRequest();
              connection.awaitClose();
            })) {
      ProxyServer proxy = ProxyServer.prepare(pushedConfig(discovery), generation -> engine, 100);
      proxy.listen();
      try (Client client = new Client(proxy)) {
        String health = client.exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(health.startsWith("HTTP/1.1 200 "));
      } finally {
        proxy.shutDownNow();
      }
    }
  }
}
