package loadbalancer.discovery;

import static loadbalancer.discovery.DiscoveryTestSupport.POLLED;
import static loadbalancer.discovery.DiscoveryTestSupport.READY_MEMBER;
import static loadbalancer.discovery.DiscoveryTestSupport.nextUpdate;
import static loadbalancer.discovery.DiscoveryTestSupport.proxy;
import static loadbalancer.discovery.DiscoveryTestSupport.watchingEngine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that every failure of a discovery call is detected and reported. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
@SuppressWarnings("try") // The proxy runs while the test reads the events of its engine.
class DiscoveryFailureTest {

  /** In the responses, {@code ~} stands for a line break. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 503 Service Unavailable~Content-Length: 0~~",
        "HTTP/1.1 200 OK~Content-Length: 9~~not JSON~",
        "HTTP/1.1 200 OK~Content-Length: 100~~{\"revision\":",
        "''"
      })
  void reportsAFailedResponse(String response) throws Exception {
    ScriptedEngine engine = watchingEngine();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          connection.write(response.replace("~", "\r\n"));
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, POLLED, engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals("FAILED 0", nextUpdate(engine));
    }
  }

  /** Empty lines follow the incomplete list, so the watch does not fail as silent. */
  @Test
  void reportsAListThatIsCutOffWithinAWatch() throws Exception {
    ScriptedEngine engine = watchingEngine();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          String partialList =
              ProxyFixture.endpointListJson(42, false, READY_MEMBER).substring(0, 60);
          connection.write(DiscoveryMessages.watchResponse(partialList));
          while (true) {
            connection.write(DiscoveryMessages.chunk(""));
            Thread.sleep(20);
          }
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, POLLED, engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals("FAILED 0", nextUpdate(engine));
    }
  }

  @Test
  void reportsAndClosesAWatchThatFallsSilent() throws Exception {
    ScriptedEngine engine = watchingEngine();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          connection.write(
              DiscoveryMessages.watchResponse(
                  ProxyFixture.endpointListJson(42, false, READY_MEMBER)));
          connection.readRequest();
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, POLLED, engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals("DELTA 1 READY", nextUpdate(engine));
      assertEquals("FAILED 0", nextUpdate(engine));
      assertTrue(discovery.connections.take().awaitClose());
    }
  }
}
