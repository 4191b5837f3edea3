package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Action.CheckHealth;
import loadbalancer.decision.api.Action.CloseIdleConnections;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.HealthCheckResult;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that health checks use pooled connections. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class HealthCheckTest {

  @Test
  void sendsHealthCheckWithoutTraceIdAndClosesItsConnectionOnAction() throws Exception {
    long endpoint = DiscoveryMessages.endpointId("s-1");
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actionSink) -> {
              if (event instanceof RequestArrived request) {
                actionSink.accept(new CheckHealth(endpoint));
                actionSink.accept(new CloseIdleConnections(endpoint));
                actionSink.accept(new FailRequest(request.requestId()));
              }
            });
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(HealthCheckResult.class).status());
      String healthCheck = upstream.requests.take();
      assertTrue(
          healthCheck.startsWith("GET /healthz HTTP/1.1\r\n")
              && !healthCheck.contains("X-Trace-Id"),
          healthCheck);
      client.exchange(ProxyFixture.get("t2", ""));
      assertTrue(upstream.connections.take().awaitScriptEnd(), "closed by the second action");
    }
  }
}
