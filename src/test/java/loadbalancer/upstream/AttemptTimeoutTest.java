package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.UnresponsiveUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests attempts that exceed their timeout. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class AttemptTimeoutTest {

  @Test
  void timeoutCoversConnecting() throws Exception {
    ScriptedEngine engine = new ScriptedEngine(TimeUnit.MILLISECONDS.toNanos(100));
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream();
        ProxyFixture proxy =
            new ProxyFixture(
                SingleEndpoint.configWithLongConnectTimeout(
                    SingleEndpoint.NO_DISCOVERY, upstream.address()),
                engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t", ""));
      assertEquals(
          AttemptStatus.CONNECT_FAILED,
          engine.awaitEvent(AttemptEnded.class).status(),
          "nothing was written");
    }
  }

  @Test
  void timeoutClosesConnectionAndDropsLateResponse() throws Exception {
    ScriptedEngine engine = new ScriptedEngine(TimeUnit.MILLISECONDS.toNanos(200));
    CountDownLatch lateResponseAllowed = new CountDownLatch(1);
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  if (connection.readRequest().contains("X-Trace-Id: slow")) {
                    lateResponseAllowed.await();
                    connection.write(FakeServer.ok("late"));
                  } else {
                    connection.write(FakeServer.ok("fresh"));
                  }
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("slow", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.TIMEOUT, engine.awaitEvent(AttemptEnded.class).status());
      FakeServer.Connection slowConnection = upstream.connections.take();
      assertTrue(slowConnection.awaitClose(), "closed before the response was written");
      lateResponseAllowed.countDown();
      assertTrue(client.exchange(ProxyFixture.get("next", "")).endsWith("\r\n\r\nfresh"));
      assertEquals(1, upstream.connections.size(), "on a new connection");
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
    }
  }
}
