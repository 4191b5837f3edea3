package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.SendGossip;
import loadbalancer.decision.api.Action.SetTimer;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.GossipReceived;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Event.TimerFired;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Events and actions between the sockets and a scripted decision engine. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class RequestDispatcherTest {

  private static final String UNREACHABLE = "127.0.0.1:1";

  private static BalancerConfig noEndpointsConfig() throws IOException {
    return ProxyFixture.config(UNREACHABLE, ProxyFixture.endpointListJson(1, true));
  }

  @Test
  void passesHeaderValuesToTheEngine() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                actions.accept(new FailRequest(request.requestId()));
              }
            });
    try (ProxyFixture proxy = new ProxyFixture(noEndpointsConfig(), engine);
        Client client = proxy.client()) {
      String response =
          client.exchange(
              ProxyFixture.get(
                  "t",
                  "X-Customer: acme\r\nCookie: a=b; sid=7f3a\r\nX-Size-Hint: 1500\r\n"
                      + "X-Second-Try: 1\r\nX-Expires-In-Ms: 480\r\n"));
      assertTrue(response.startsWith("HTTP/1.1 502 "), response);
      RequestArrived request = engine.awaitEvent(RequestArrived.class);
      assertEquals(
          "safe acme 7f3a 1500000 true",
          request.className()
              + " "
              + request.tenant()
              + " "
              + request.affinityKey()
              + " "
              + request.workHintNanos()
              + " "
              + request.retry());
    }
  }

  @Test
  void completesARequestThatTheEngineForgets() throws Exception {
    ScriptedEngine engine = new ScriptedEngine((event, actions) -> {});
    try (ProxyFixture proxy = new ProxyFixture(noEndpointsConfig(), engine);
        Client client = proxy.client()) {
      String response = client.exchange(ProxyFixture.get("t", "X-Expires-In-Ms: 300\r\n"));
      assertTrue(response.startsWith("HTTP/1.1 504 "));
      assertEquals(
          engine.awaitEvent(RequestArrived.class).requestId(),
          engine.awaitEvent(ClientDisconnected.class).requestId(),
          "the engine is notified that none is owed any more");
    }
  }

  @Test
  void completesAllRequestsAndServesOnWhenTheEngineThrows() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request && request.tenant() != null) {
                if (request.tenant().equals("bad")) {
                  throw new IllegalStateException("on purpose: this trace belongs to a test");
                }
                actions.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (ProxyFixture proxy = new ProxyFixture(noEndpointsConfig(), engine);
        Client heldClient = proxy.client();
        Client failingClient = proxy.client()) {
      heldClient.write(ProxyFixture.get("held", ""));
      engine.awaitEvent(RequestArrived.class);
      assertTrue(
          failingClient
              .exchange(ProxyFixture.get("t", "X-Customer: bad\r\n"))
              .startsWith("HTTP/1.1 500 "));
      assertTrue(heldClient.readResponse().startsWith("HTTP/1.1 500 "));
      assertTrue(
          failingClient
              .exchange(ProxyFixture.get("t2", "X-Customer: good\r\n"))
              .startsWith("HTTP/1.1 429 "));
    }
  }

  @Test
  void firesTimersAndExchangesGossip() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived) {
                actions.accept(new SetTimer("now", 0));
                actions.accept(new SendGossip(-1, "hi 1".getBytes(StandardCharsets.UTF_8)));
              }
            });
    try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      peer.setSoTimeout(ProxyFixture.TIMEOUT_SECONDS * 1000);
      String peerAddress = "\"127.0.0.1:" + peer.getLocalPort() + "\"";
      String gossip =
          "\"peer_listen\":\"127.0.0.1:"
              + freePort()
              + "\",\"peers\":[\"127.0.0.1:1\","
              + peerAddress
              + "],\"peers_all\":"
              + peerAddress
              + ",";
      BalancerConfig config =
          ProxyFixture.config(
              UNREACHABLE, ProxyFixture.endpointListJson(1, true), "on_request", 200, 1024, gossip);
      try (ProxyFixture proxy = new ProxyFixture(config, engine);
          Client client = proxy.client()) {
        client.write(ProxyFixture.get("t", ""));
        assertEquals("now", engine.awaitEvent(TimerFired.class).token());
        DatagramPacket packet = new DatagramPacket(new byte[256], 256);
        peer.receive(packet);
        assertEquals(
            "hi 1", new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        peer.send(new DatagramPacket(new byte[] {7}, 1, config.gossipListenAddress()));
        GossipReceived message = engine.awaitEvent(GossipReceived.class);
        assertEquals(1, message.from());
        assertEquals(7, message.data()[0]);
      }
    }
  }

  private static int freePort() throws SocketException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }

  /**
   * The event loop is blocked while a request with a short timeout arrives: its deadline has passed
   * when it is read.
   */
  @Test
  void doesNotForwardARequestThatWasUnreadUntilItsDeadline() throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch written = new CountDownLatch(1);
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request && request.workHintNanos() > 0) {
                blocked.countDown();
                blockEventLoop(written);
                actions.accept(new RejectRequest(request.requestId(), 0));
              } else if (event instanceof RequestArrived request) {
                actions.accept(
                    new StartAttempt(request.requestId(), DiscoveryMessages.endpointId("s-1"), 0));
              } else if (event instanceof AttemptEnded attempt && !attempt.isRequestAnswered()) {
                actions.accept(new FailRequest(attempt.requestId()));
              }
            });
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(
                    UNREACHABLE,
                    ProxyFixture.endpointListJson(
                        1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready"))),
                engine);
        Client client = proxy.client();
        Client other = proxy.client()) {
      String health = client.exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
      assertTrue(health.startsWith("HTTP/1.1 200 "));
      other.write(ProxyFixture.get("holds", "X-Size-Hint: 7\r\n"));
      blocked.await();
      client.write(ProxyFixture.get("brief", "X-Expires-In-Ms: 300\r\n"));
      written.countDown();
      assertTrue(client.readResponse().startsWith("HTTP/1.1 50"), "too late");
      assertNull(upstream.requests.poll(), "not sent");
    }
  }

  /**
   * Blocks the event loop for longer than the request's timeout, counted from when the request was
   * written.
   */
  private static void blockEventLoop(CountDownLatch written) {
    try {
      written.await();
      Thread.sleep(500);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
