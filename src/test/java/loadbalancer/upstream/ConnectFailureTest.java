package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.UnresponsiveUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that attempts whose connection is not established fail with CONNECT_FAILED. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ConnectFailureTest {

  @Test
  void failsToConnectWhenConnectionIsRefused() throws Exception {
    String closedAddress;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closedAddress = "127.0.0.1:" + socket.getLocalPort();
    }
    ScriptedEngine engine = new ScriptedEngine(SingleEndpoint.LONG_TIMEOUT_NANOS);
    try (ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(closedAddress), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.CONNECT_FAILED, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  @Test
  void failsToConnectAfterConnectTimeout() throws Exception {
    ScriptedEngine engine = new ScriptedEngine(SingleEndpoint.LONG_TIMEOUT_NANOS);
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream();
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.CONNECT_FAILED, engine.awaitEvent(AttemptEnded.class).status());
    }
  }
}
