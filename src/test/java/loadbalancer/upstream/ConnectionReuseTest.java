package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests which idle connections are reused, and when idle connections are closed. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ConnectionReuseTest {

  private final ScriptedEngine engine = new ScriptedEngine(SingleEndpoint.LONG_TIMEOUT_NANOS);

  @Test
  void doesNotReuseConnectionClosedByUpstream() throws Exception {
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  connection.write(FakeServer.ok("x"));
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t1", ""));
      assertTrue(upstream.connections.take().awaitClose());
      client.exchange(ProxyFixture.get("t2", ""));
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  @Test
  void closesIdleConnectionBeforeUpstreamDoes() throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t1", ""));
      FakeServer.Connection connection = upstream.connections.take();
      upstream.requests.take();
      assertNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.MILLISECONDS));
      assertTrue(connection.awaitScriptEnd(), "closed by the proxy, not by the upstream");
    }
  }

  /** The upstream may close such a connection while a request is sent on it. */
  @Test
  void doesNotReuseConnectionPastIdleTimeoutBetweenSweeps() throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"))) {
      String list = SingleEndpoint.endpointListJson(upstream.address());
      String configText =
          ProxyFixture.configText(SingleEndpoint.NO_DISCOVERY, list, "on_request", 200, 1024, "")
              .replace("\"max-attempts\"", "\"conn-idle-ns\":40000000,\"max-attempts\"");
      BalancerConfig config = BalancerConfig.parse(configText, Map.of());
      try (ProxyFixture proxy = new ProxyFixture(config, engine);
          Client client = proxy.client()) {
        for (int i = 0; i < 10; i++) {
          String response = client.exchange(ProxyFixture.get("t" + i, ""));
          assertTrue(response.startsWith("HTTP/1.1 200 "));
          Thread.sleep(45); // Exceeds the idle timeout; a sweep runs in about every fifth pause.
        }
      }
      assertEquals(10, upstream.connections.size());
    }
  }

  /** The upstream closes every connection at its second request; most requests must succeed. */
  @Test
  void stopsReusingConnectionsThatBreakOnReuse() throws Exception {
    int requestCount = 400;
    int failedCount = 0;
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  connection.write(FakeServer.ok("ok"));
                  connection.readRequest();
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      for (int i = 0; i < requestCount; i++) {
        String response = client.exchange(ProxyFixture.get("t" + i, ""));
        failedCount += response.startsWith("HTTP/1.1 200 ") ? 0 : 1;
      }
    }
    assertTrue(
        failedCount < requestCount / 10,
        failedCount + " of " + requestCount + " did not return 200");
  }
}
