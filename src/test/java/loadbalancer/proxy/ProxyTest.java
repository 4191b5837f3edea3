package loadbalancer.proxy;

import loadbalancer.http.HttpProtocol;
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
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What a client sees, over real connections. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ProxyTest {

  private static final String NOWHERE = "127.0.0.1:1";

  private static BalancerConfig one(FakeServer upstream) throws IOException {
    return ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready")));
  }

  @Test
  void requestsGoOnUnchangedOverOneConnection() throws Exception {
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("an answer"));
        ProxyFixture rig = new ProxyFixture(one(upstream)); Client client = rig.client()) {
      String answer = client.ask(ProxyFixture.get("t1", "X-Expires-In-Ms: 30000\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"));
      assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n") && answer.endsWith("\r\n\r\nan answer"), answer);
      String got = upstream.requests.take();
      assertTrue(got.startsWith("GET /api?q=1 HTTP/1.1\r\n"), got);
      assertTrue(got.contains("X-Trace-Id: t1\r\n") && !got.contains("X-Hop"), got);
      assertTrue(got.matches("(?s).*X-Expires-In-Ms: 29\\d{3}\r\n.*"), "tells how long it waits: " + got);
      answer = client.ask(ProxyFixture.post("t2", "Idempotency-Key: k2\r\nX-Expires-In-Ms: 30000\r\n", "a body"));
      assertTrue(answer.startsWith("HTTP/1.1 200 OK\r\n"), answer);
      got = upstream.requests.take();
      assertTrue(got.startsWith("POST /api HTTP/1.1\r\n") && got.contains("Idempotency-Key: k2\r\n")
          && got.endsWith("\r\n\r\na body"), got);
      // It is used again after a rest: asked often enough, a request comes on a connection that is there already.
      for (int before = -1; before != upstream.connections.size();) {
        before = upstream.connections.size();
        client.ask(ProxyFixture.get("again" + before, ""));
      }
    }
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "GET /api HTTP/1.1~X-Qos: safe~~ | 400",
    "GET /api HTTP/1.1~X-Trace-Id: t~~ | 400",
    "GET /api HTTP/1.1~X-Trace-Id: t~X-Qos: odd~~ | 400",
    "GET /api HTTP/1.1~X-Trace-Id: t~X-Qos: safe~X-Expires-In-Ms: -5~~ | 400",
    "POST /api HTTP/1.1~X-Trace-Id: t~X-Qos: keyed~Content-Length: 0~~ | 400",
    "GET /api HTTP/1.1~no colon here~~ | 400",
    "nonsense~~ | 400",
    "GET /other HTTP/1.1~X-Trace-Id: t~X-Qos: safe~~ | 404",
    "PUT /api HTTP/1.1~X-Trace-Id: t~X-Qos: safe~Content-Length: 0~~ | 405",
    "POST /api HTTP/1.1~X-Trace-Id: t~X-Qos: keyed~Idempotency-Key: k~Content-Length: 65537~~ | 413"})
  void badInputIsAnsweredAndReachesNoUpstream(String request, int status) throws Exception {
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream))) {
      try (Client client = rig.client()) {
        String answer = client.ask(request.trim().replace("~", "\r\n"));
        assertTrue(answer.startsWith("HTTP/1.1 " + status + " "), answer);
      }
      try (Client client = rig.client()) {
        assertTrue(client.ask(ProxyFixture.get("good", "")).startsWith("HTTP/1.1 200 "), "still serves");
      }
      assertTrue(upstream.requests.take().contains("X-Trace-Id: good\r\n"));
      assertNull(upstream.requests.poll());
    }
  }

  @Test
  void aBodyOfTheLargestSizePasses() throws Exception {
    String body = "b".repeat(HttpProtocol.MAX_BODY_BYTES);
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok(body));
        ProxyFixture rig = new ProxyFixture(one(upstream)); Client client = rig.client()) {
      String answer = client.ask(ProxyFixture.post("t", "Idempotency-Key: k\r\n", body));
      assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\n" + body));
      assertTrue(upstream.requests.take().endsWith("\r\n\r\n" + body));
    }
  }

  @Test
  void healthTellsWhetherItCanServe() throws Exception {
    String health = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream));
        Client client = rig.client()) {
      assertTrue(client.ask(health).startsWith("HTTP/1.1 200 "));
    }
    try (ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true))); Client client = rig.client()) {
      assertTrue(client.ask(health).startsWith("HTTP/1.1 503 "), "no upstream is known");
    }
  }

  @Test
  void aRefusalSaysWhenToComeBackAndGoesOutAtOnce() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new RejectRequest(r.requestId(), 250_000_001));
      }
    });
    try (ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true)), module); Client client = rig.client()) {
      String answer = client.ask(ProxyFixture.get("t", ""));
      assertTrue(answer.startsWith("HTTP/1.1 429 ") && answer.contains("retry-after: 0.251\r\n"), answer);
    }
  }

  @Test
  void theModuleIsToldWhatTheHeadersSay() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new FailRequest(r.requestId()));
      }
    });
    try (ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true)), module); Client client = rig.client()) {
      String answer = client.ask(ProxyFixture.get("t", "X-Customer: acme\r\nCookie: a=b; sid=7f3a\r\nX-Size-Hint: 1500\r\n"
          + "X-Second-Try: 1\r\nX-Expires-In-Ms: 480\r\n"));
      assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
      RequestArrived r = module.next(RequestArrived.class);
      assertEquals("safe acme 7f3a 1500000 true",
          r.className() + " " + r.tenant() + " " + r.affinityKey() + " " + r.workHintNanos() + " " + r.retry());
    }
  }

  @Test
  void aRequestThatTheModuleForgetsIsAnsweredBeforeItsDeadline() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> { });
    try (ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true)), module); Client client = rig.client()) {
      assertTrue(client.ask(ProxyFixture.get("t", "X-Expires-In-Ms: 300\r\n")).startsWith("HTTP/1.1 504 "));
      assertEquals(module.next(RequestArrived.class).requestId(), module.next(ClientDisconnected.class).requestId(), "the module lets go of it");
    }
  }

  @Test
  void anExceptionInTheModuleAnswersWhatIsHeldAndServesOn() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r && r.tenant() != null) {
        if (r.tenant().equals("bad")) {
          throw new IllegalStateException("on purpose: this trace belongs to a test");
        }
        out.accept(new RejectRequest(r.requestId(), 0));
      }
    });
    try (ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true)), module); Client held = rig.client();
        Client bad = rig.client()) {
      held.write(ProxyFixture.get("held", ""));
      module.next(RequestArrived.class);
      assertTrue(bad.ask(ProxyFixture.get("t", "X-Customer: bad\r\n")).startsWith("HTTP/1.1 500 "));
      assertTrue(held.answer().startsWith("HTTP/1.1 500 "));
      assertTrue(bad.ask(ProxyFixture.get("t2", "X-Customer: good\r\n")).startsWith("HTTP/1.1 429 "));
    }
  }

  @Test
  void requestsThatComeEarlyAreAnsweredInTurn() throws Exception {
    try (FakeServer upstream = new FakeServer(c -> {
      for (String r = c.next(); r != null; r = c.next()) {
        c.write(FakeServer.ok(r.contains("X-Trace-Id: first") ? "1" : "2"));
      }
    }); ProxyFixture rig = new ProxyFixture(one(upstream)); Client client = rig.client()) {
      client.write(ProxyFixture.get("first", "") + ProxyFixture.get("second", ""));
      assertTrue(client.answer().endsWith("\r\n\r\n1"));
      assertTrue(client.answer().endsWith("\r\n\r\n2"));
    }
  }

  @Test
  void timersFireAndPeersTalk() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived) {
        out.accept(new SetTimer("now", 0));
        out.accept(new SendGossip(-1, "hi 1".getBytes(StandardCharsets.UTF_8)));
      }
    });
    try (DatagramSocket peer = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
      peer.setSoTimeout(ProxyFixture.TIMEOUT_SECONDS * 1000);
      String more = "\"peer_listen\":\"127.0.0.1:" + freePort() + "\",\"peers\":[\"127.0.0.1:1\",\"127.0.0.1:"
          + peer.getLocalPort() + "\"],\"peers_all\":\"127.0.0.1:" + peer.getLocalPort() + "\",";
      BalancerConfig config = ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true), "on_request", 200, 1024, more);
      try (ProxyFixture rig = new ProxyFixture(config, module); Client client = rig.client()) {
        client.write(ProxyFixture.get("t", ""));
        assertEquals("now", module.next(TimerFired.class).token());
        DatagramPacket packet = new DatagramPacket(new byte[256], 256);
        peer.receive(packet);
        assertEquals("hi 1", new String(packet.getData(), 0, packet.getLength(), StandardCharsets.UTF_8));
        peer.send(new DatagramPacket(new byte[] {7}, 1, config.peerListen()));
        GossipReceived message = module.next(GossipReceived.class);
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

  @Test
  void stoppingTakesWhatStillComesAndAnswersIt() throws Exception {
    try (FakeServer upstream = new FakeServer(c -> {
      for (String r = c.next(); r != null; r = c.next()) {
        c.write(FakeServer.ok("x"));
      }
    }); ProxyFixture rig = new ProxyFixture(one(upstream)); Client old = rig.client()) {
      assertTrue(old.ask(ProxyFixture.get("t1", "")).startsWith("HTTP/1.1 200 "));
      Thread stop = new Thread(rig.server::shutDownGracefully);
      stop.start();
      rig.server.awaitShutdownStart();
      try (Client late = rig.client()) {
        assertTrue(late.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 503 "), "go elsewhere");
        assertTrue(late.ask(ProxyFixture.get("t2", "")).startsWith("HTTP/1.1 200 "));
        assertNull(late.answer(), "and the connection ends");
      }
      assertNull(old.answer(), "as does one from before");
      stop.join(TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
      assertTrue(!stop.isAlive(), "ends once no client is left");
    }
  }

  /** The loop is held up while a request with little time comes: that time is over when it is read, and was counted from then. */
  @Test
  void aRequestThatLayUnreadForItsTimeIsNotSentOn() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    CountDownLatch written = new CountDownLatch(1);
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r && r.workHintNanos() > 0) {
        held.countDown();
        hold(written);
        out.accept(new RejectRequest(r.requestId(), 0));
      } else if (event instanceof RequestArrived r) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), 0));
      } else if (event instanceof AttemptEnded o && !o.finished()) {
        out.accept(new FailRequest(o.requestId()));
      }
    });
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream), module);
        Client client = rig.client(); Client other = rig.client()) {
      assertTrue(client.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200 "));
      other.write(ProxyFixture.get("holds", "X-Size-Hint: 7\r\n"));
      held.await();
      client.write(ProxyFixture.get("brief", "X-Expires-In-Ms: 300\r\n"));
      written.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 50"), "too late");
      assertNull(upstream.requests.poll(), "not sent");
    }
  }

  /** Holds the loop up for longer than the brief request's time, counted from when that was written. */
  private static void hold(CountDownLatch written) {
    try {
      written.await();
      Thread.sleep(500);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
