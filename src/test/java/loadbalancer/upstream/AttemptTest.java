package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.CheckHealth;
import loadbalancer.decision.api.Action.CloseIdleConnections;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.HealthCheckResult;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.UnresponsiveUpstream;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How attempts end, by what an upstream does on its connection. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class AttemptTest {

  private static final String NOWHERE = "127.0.0.1:1";
  private static final long LONG = TimeUnit.SECONDS.toNanos(30);

  private static BalancerConfig one(String upstream) throws IOException {
    return ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream, "ready")));
  }

  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "HTTP/1.1 200 OK~Content-Length: 2~~ok | SUCCESS",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~0~~ | SUCCESS",
    "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Content-Length: 2~~ok | SUCCESS",
    "HTTP/1.1 500 Internal Server Error~Content-Length: 0~~ | ERROR",
    "HTTP/1.1 503 Service Unavailable~Content-Length: 0~~ | ERROR",
    "HTTP/1.1 503 Service Unavailable~X-Never-Ran: 1~Content-Length: 0~~ | REJECTED",
    "HTTP/1.1 504 Gateway Timeout~X-Never-Ran: 1~Content-Length: 0~~ | REJECTED",
    "HTTP/1.1 200 OK~Content-Length: 20~~cut short | RESET",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~9~cut | RESET",
    "HTTP/1.1 200 OK~~no length | RESET",
    "HTTP/1.1 200 OK~no colon here~Content-Length: 2~~ok | RESET",
    "HTTP/1.1 200 OK~Name : 1~Content-Length: 2~~ok | RESET",
    "HTTP/1.1 200 OK~Content-Length: 2~Content-Length: 3~~ok | RESET",
    "HTTP/1.1 200 OK~Content-Length: -2~~ok | RESET",
    "HTTP/1.1 200 OK~Content-Length: 2~Transfer-Encoding: chunked~~2~ok~0~~ | RESET",
    "HTTP/1.1 200 OK~Content-Length: 65537~~ | RESET",
    "garbage~~ | RESET",
    "'' | RESET"})
  void anAnswerIsWordedAsItsOutcome(String answer, AttemptStatus status) throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (FakeServer upstream = new FakeServer(c -> {
      c.next();
      c.write(answer.replace("~", "\r\n"));
    }); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      String got = client.ask(ProxyFixture.get("t", ""));
      AttemptEnded o = module.next(AttemptEnded.class);
      assertEquals(status, o.status());
      assertEquals(status == AttemptStatus.SUCCESS, o.finished());
      assertTrue(status == AttemptStatus.SUCCESS ? got.startsWith("HTTP/1.1 200 ") && got.endsWith("\r\n\r\nok")
          : got.startsWith("HTTP/1.1 502 "), got);
    }
  }

  /** Guards a client from waiting until its time is up, where the connection stays open and brings no whole answer. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {
    "noise without a line's end",
    "HTTP/1.1 200 OK~X-Endless: ",
    "HTTP/1.1 200 OK~Content-Length: 20~~short",
    "HTTP/1.1 200 OK~Content-Length: 3000000000~~and it keeps coming",
    "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~short",
    "HTTP/1.1 500 Oh~~no length and no end"})
  void aSpoiltAnswerOnAnOpenConnectionIsABrokenAttempt(String answer) throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (FakeServer upstream = new FakeServer(c -> {
      c.next();
      c.write(answer.replace("~", "\r\n"));
      new CountDownLatch(1).await();
    }); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      assertTrue(client.ask(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.RESET, module.next(AttemptEnded.class).status());
      assertTrue(upstream.connections.take().ends(), "its connection is closed");
    }
  }

  @Test
  void informationalAnswersWithoutEndAreABrokenAttempt() throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (FakeServer upstream = FakeServer.answering("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100));
        ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      client.ask(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.RESET, module.next(AttemptEnded.class).status());
    }
  }

  /** Guards the next client on a connection: what an answer brings beyond its end is not the next one's. */
  @ParameterizedTest
  @CsvSource(delimiter = '|', value = {"true", "false"})
  void whatFollowsAnAnswerIsNotTakenForTheNext(boolean atOnce) throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    String surplus = FakeServer.ok("surplus");
    try (FakeServer upstream = new FakeServer(c -> {
      String request = c.next();
      String answer = FakeServer.ok(request.contains("X-Trace-Id: t1") ? "first" : "second");
      c.write(atOnce ? answer + surplus : answer);
      if (!atOnce) {
        c.write(surplus);
      }
      c.next();
    }); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      assertTrue(client.ask(ProxyFixture.get("t1", "")).endsWith("\r\n\r\nfirst"));
      assertTrue(upstream.connections.take().awaitEnd(), "closed by the balancer");
      assertTrue(client.ask(ProxyFixture.get("t2", "")).endsWith("\r\n\r\nsecond"));
    }
  }

  /**
   * A second answer has come later than a connection rests, on one that stood idle: from then on none is used again so soon, or
   * the next one so late would be taken for another request's.
   */
  @Test
  void aSecondAnswerThatCameLateMakesConnectionsRestLonger() throws Exception {
    long lateMillis = 45;
    AtomicInteger connections = new AtomicInteger();
    try (FakeServer upstream = new FakeServer(c -> {
      int number = connections.incrementAndGet();
      for (String request = c.next(); request != null; request = c.next()) {
        c.write(FakeServer.ok(request.contains("X-Trace-Id: t1") ? "first" : "next"));
        if (number == 1) {
          Thread.sleep(lateMillis); // The lateness itself is what is tested.
          c.write(FakeServer.ok("surplus"));
        }
      }
    }); ProxyFixture rig = new ProxyFixture(one(upstream.address()), new ScriptedEngine(LONG)); Client client = rig.client()) {
      assertTrue(client.ask(ProxyFixture.get("t1", "")).endsWith("\r\n\r\nfirst"));
      assertTrue(upstream.connections.take().awaitEnd(), "closed by the balancer");
      assertTrue(client.ask(ProxyFixture.get("t2", "")).endsWith("\r\n\r\nnext"));
      Thread.sleep(15); // Longer than connections rest at first, and far shorter than they do now.
      assertTrue(client.ask(ProxyFixture.get("t3", "")).endsWith("\r\n\r\nnext"));
      assertEquals(3, connections.get(), "it still rests");
      Thread.sleep(4 * lateMillis);
      assertTrue(client.ask(ProxyFixture.get("t4", "")).endsWith("\r\n\r\nnext"));
      assertEquals(3, connections.get(), "and is used again");
    }
  }

  /** Guards the second before the loop sees it: a connection with something unread on it is not written to. */
  @Test
  void aConnectionOnWhichSomethingHasComeIsNotQuiet() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      try {
        UpstreamChannel socket = (UpstreamChannel) new Bootstrap().group(group).channelFactory(UpstreamChannel::new)
            .option(ChannelOption.AUTO_READ, false).handler(new ChannelInboundHandlerAdapter())
            .connect(listener.getLocalSocketAddress()).sync().channel();
        try (Socket peer = listener.accept()) {
          assertTrue(socket.isQuiet());
          peer.getOutputStream().write(1);
          while (socket.isQuiet()) {
            Thread.onSpinWait();
          }
        }
      } finally {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      }
    }
  }

  @Test
  void aRefusedConnectionNeverRan() throws Exception {
    String closed;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      closed = "127.0.0.1:" + socket.getLocalPort();
    }
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (ProxyFixture rig = new ProxyFixture(one(closed), module); Client client = rig.client()) {
      client.ask(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.CONNECT_FAILED, module.next(AttemptEnded.class).status());
    }
  }

  @Test
  void connectingToASilentMachineEnds() throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream(); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module);
        Client client = rig.client()) {
      client.ask(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.CONNECT_FAILED, module.next(AttemptEnded.class).status());
    }
  }

  @Test
  void theTimeOutCoversConnecting() throws Exception {
    ScriptedEngine module = new ScriptedEngine(TimeUnit.MILLISECONDS.toNanos(100));
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream(); ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true,
        ProxyFixture.member("s-1", upstream.address(), "ready")), "on_request", 1000 * ProxyFixture.TIMEOUT_SECONDS, 1024, ""), module);
        Client client = rig.client()) {
      client.ask(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.CONNECT_FAILED, module.next(AttemptEnded.class).status(), "it was never written");
    }
  }

  @Test
  void aSendStillConnectingIsNotWrittenOnceItsUpstreamDrains() throws Exception {
    CountDownLatch drain = new CountDownLatch(1);
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream(); FakeServer discovery = new FakeServer(c -> {
      c.next();
      drain.await();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(2, false, ProxyFixture.member("s-1", upstream.address(), "draining"))));
      c.next();
    })) {
      ScriptedEngine module = new ScriptedEngine((event, out) -> {
        if (event instanceof EndpointListUpdate n && n.kind() == UpdateKind.CACHED) {
          out.accept(new WatchEndpoints(true));
        } else if (event instanceof RequestArrived r) {
          out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), 0));
        } else if (event instanceof AttemptEnded o) {
          out.accept(new FailRequest(o.requestId()));
        }
      });
      BalancerConfig config = ProxyFixture.config(discovery.address(), ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready")),
          "on_request", 1000 * ProxyFixture.TIMEOUT_SECONDS, 1024, "");
      try (ProxyFixture rig = new ProxyFixture(config, module); Client client = rig.client()) {
        client.write(ProxyFixture.get("t", ""));
        module.next(RequestArrived.class);
        drain.countDown();
        assertEquals(AttemptStatus.NOT_SENT, module.next(AttemptEnded.class).status());
      }
    }
  }

  @Test
  void aSendStillConnectingIsNotWrittenOnceItsClientIsGone() throws Exception {
    ScriptedEngine module = cancelling();
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream(); ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true,
        ProxyFixture.member("s-1", upstream.address(), "ready")), "on_request", 1000 * ProxyFixture.TIMEOUT_SECONDS, 1024, ""), module)) {
      try (Client client = rig.client()) {
        client.write(ProxyFixture.get("t", ""));
        module.next(RequestArrived.class);
      }
      module.next(ClientDisconnected.class);
      assertEquals(AttemptStatus.NOT_SENT, module.next(AttemptEnded.class).status());
    }
  }

  /**
   * A keyed request that may have run is dropped by its upstreams for a time, and may be repeated within it. The repeat was
   * decided in time, and its connection came up after it: it was written all the same.
   */
  @Test
  void aRepeatWhoseConnectionComesUpAfterItsTimeIsNotWritten() throws Exception {
    try (FakeServer breaking = new FakeServer(FakeServer.Connection::next); UnresponsiveUpstream late = new UnresponsiveUpstream()) {
      ScriptedEngine module = new ScriptedEngine((event, out) -> {
        if (event instanceof RequestArrived r) {
          out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), 0));
        } else if (event instanceof AttemptEnded o && o.attempt() == 0) {
          out.accept(new StartAttempt(o.requestId(), DiscoveryMessages.number("s-2"), 0));
        } else if (event instanceof AttemptEnded o) {
          out.accept(new FailRequest(o.requestId()));
        }
      });
      String text = ProxyFixture.text(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", breaking.address(), "ready"),
          ProxyFixture.member("s-2", late.address(), "ready")), "on_request", 1000 * ProxyFixture.TIMEOUT_SECONDS, 1024, "");
      BalancerConfig config = BalancerConfig.parse(text.replace("\"window-ns\":2000000000", "\"window-ns\":300000000"), Map.of());
      try (ProxyFixture rig = new ProxyFixture(config, module); Client client = rig.client()) {
        client.write(ProxyFixture.post("t", "Idempotency-Key: k\r\n", "body"));
        assertEquals(AttemptStatus.RESET, module.next(AttemptEnded.class).status());
        Thread.sleep(400); // The time of repeats is over before there is room for the connection.
        try (Socket connection = late.accept()) {
          assertEquals(-1, connection.getInputStream().read(), "nothing was written");
        }
        assertEquals(AttemptStatus.NOT_SENT, module.next(AttemptEnded.class).status());
        assertTrue(client.answer().startsWith("HTTP/1.1 502 "));
      }
    }
  }

  /** News is taken in before the module is told of it: what it decides in between is not carried out. */
  @Test
  void aSendThatWasDecidedBeforeTheNewsIsNotWrittenAfterIt() throws Exception {
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); FakeServer discovery = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(2, false, ProxyFixture.member("s-1", upstream.address(), "draining"))));
      c.ends();
    })) {
      List<String> parked = new ArrayList<>();
      ScriptedEngine module = new ScriptedEngine((event, out) -> {
        if (event instanceof RequestArrived r) {
          parked.add(r.requestId());
          out.accept(new WatchEndpoints(true));
        } else if (event instanceof EndpointListUpdate n && n.kind() == UpdateKind.DELTA) {
          out.accept(new StartAttempt(parked.get(0), DiscoveryMessages.number("s-1"), 0));
        } else if (event instanceof AttemptEnded o) {
          out.accept(new FailRequest(o.requestId()));
        }
      });
      BalancerConfig config = ProxyFixture.config(discovery.address(), ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready")));
      try (ProxyFixture rig = new ProxyFixture(config, module); Client client = rig.client()) {
        assertTrue(client.ask(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 502 "));
        assertEquals(AttemptStatus.NOT_SENT, module.next(AttemptEnded.class).status());
        assertNull(upstream.requests.poll());
      }
    }
  }

  /** Sends, and stops waiting when the client goes. */
  private static ScriptedEngine cancelling() {
    return new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), 0));
      } else if (event instanceof ClientDisconnected g) {
        out.accept(new CancelAttempt(g.requestId(), 0));
      }
    });
  }

  @Test
  void aCancelledAttemptClosesItsConnection() throws Exception {
    ScriptedEngine module = cancelling();
    try (FakeServer upstream = new FakeServer(c -> {
      c.next();
      new CountDownLatch(1).await(); // Never says anything, nor closes: only the balancer can.
    }); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module)) {
      FakeServer.Connection connection;
      try (Client client = rig.client()) {
        client.write(ProxyFixture.get("t", ""));
        assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        connection = upstream.connections.take();
        client.socket.setSoLinger(true, 0); // A reset: an end of the sending alone may leave a client that still listens.
      }
      assertEquals(AttemptStatus.CANCELLED, module.next(AttemptEnded.class).status());
      assertTrue(connection.ends());
    }
  }

  @Test
  void aTimedOutAttemptClosesItsConnectionAndItsLateAnswerIsDropped() throws Exception {
    ScriptedEngine module = new ScriptedEngine(TimeUnit.MILLISECONDS.toNanos(200));
    CountDownLatch late = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer(c -> {
      if (c.next().contains("X-Trace-Id: slow")) {
        late.await();
        c.write(FakeServer.ok("late"));
      } else {
        c.write(FakeServer.ok("fresh"));
      }
    }); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      assertTrue(client.ask(ProxyFixture.get("slow", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.TIMEOUT, module.next(AttemptEnded.class).status());
      FakeServer.Connection slow = upstream.connections.take();
      assertTrue(slow.ends(), "closed before anything came");
      late.countDown();
      assertTrue(client.ask(ProxyFixture.get("next", "")).endsWith("\r\n\r\nfresh"));
      assertEquals(1, upstream.connections.size(), "on a new connection");
      assertEquals(AttemptStatus.SUCCESS, module.next(AttemptEnded.class).status());
    }
  }

  @Test
  void aConnectionThatTheUpstreamClosedIsNotUsedAgain() throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (FakeServer upstream = new FakeServer(c -> {
      c.next();
      c.write(FakeServer.ok("x"));
    }); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      client.ask(ProxyFixture.get("t1", ""));
      assertTrue(upstream.connections.take().ends());
      client.ask(ProxyFixture.get("t2", ""));
      assertEquals(AttemptStatus.SUCCESS, module.next(AttemptEnded.class).status());
      assertEquals(AttemptStatus.SUCCESS, module.next(AttemptEnded.class).status());
    }
  }

  @Test
  void idleConnectionsAreClosedWellBeforeTheUpstreamWould() throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module);
        Client client = rig.client()) {
      client.ask(ProxyFixture.get("t1", ""));
      FakeServer.Connection connection = upstream.connections.take();
      upstream.requests.take();
      assertNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.MILLISECONDS));
      assertTrue(connection.awaitEnd(), "closed with no word from the upstream");
    }
  }

  /** Between two sweeps, or with the loop behind, one was used again that the upstream may close at that moment. */
  @Test
  void aConnectionThatStoodIdleForTooLongIsNotUsedAgainThoughNoSweepHasCome() throws Exception {
    String text = ProxyFixture.text(NOWHERE, "KNOWN", "on_request", 200, 1024, "")
        .replace("\"max-attempts\"", "\"conn-idle-ns\":40000000,\"max-attempts\"");
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x"))) {
      BalancerConfig config = BalancerConfig.parse(text.replace("KNOWN", ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready"))),
          Map.of());
      try (ProxyFixture rig = new ProxyFixture(config, new ScriptedEngine(LONG)); Client client = rig.client()) {
        for (int i = 0; i < 10; i++) {
          assertTrue(client.ask(ProxyFixture.get("t" + i, "")).startsWith("HTTP/1.1 200 "));
          Thread.sleep(45); // The time itself is what is tested; every fifth or so meets a sweep.
        }
      }
      assertEquals(10, upstream.connections.size());
    }
  }

  @Test
  void moreAttemptsThanAllowedAreNotSent() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), 0));
      } else if (event instanceof AttemptEnded o && o.attempt() < 6) {
        out.accept(new StartAttempt(o.requestId(), DiscoveryMessages.number("s-1"), 0));
      } else if (event instanceof AttemptEnded o) {
        out.accept(new FailRequest(o.requestId()));
      }
    });
    try (FakeServer upstream = FakeServer.answering("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
        ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      client.ask(ProxyFixture.get("t", ""));
      for (int i = 0; i < 6; i++) {
        assertEquals(AttemptStatus.ERROR, module.next(AttemptEnded.class).status());
      }
      assertEquals(AttemptStatus.NOT_SENT, module.next(AttemptEnded.class).status());
      assertEquals(6, upstream.requests.size());
    }
  }

  @Test
  void anAnswersLoadReportReachesTheModule() throws Exception {
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (FakeServer upstream = FakeServer.answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
        + "Endpoint-Load-Metrics: TEXT inflight=7, queue=odd, util=0.61\r\n\r\n");
        ProxyFixture rig = new ProxyFixture(one(upstream.address()), module); Client client = rig.client()) {
      client.ask(ProxyFixture.get("t", ""));
      assertEquals(Map.of("inflight", 7.0, "util", 0.61), module.next(AttemptEnded.class).loadReport());
    }
  }

  @Test
  void probesAskForHealthWithoutAnId() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new CheckHealth(DiscoveryMessages.number("s-1")));
        out.accept(new CloseIdleConnections(DiscoveryMessages.number("s-1")));
        out.accept(new FailRequest(r.requestId()));
      }
    });
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream.address()), module);
        Client client = rig.client()) {
      client.ask(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.SUCCESS, module.next(HealthCheckResult.class).status());
      String probe = upstream.requests.take();
      assertTrue(probe.startsWith("GET /healthz HTTP/1.1\r\n") && !probe.contains("X-Trace-Id"), probe);
      client.ask(ProxyFixture.get("t2", ""));
      assertTrue(upstream.connections.take().awaitEnd(), "its idle connections are closed when asked");
    }
  }

  @Test
  void atTheSocketBudgetIdleConnectionsGoAndThenAttemptsFail() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("true".equals(r.tenant()) ? "s-2" : "s-1"), 0));
      } else if (event instanceof AttemptEnded o && !o.finished()) {
        out.accept(new FailRequest(o.requestId()));
      }
    });
    CountDownLatch done = new CountDownLatch(1);
    try (FakeServer idle = FakeServer.answering(FakeServer.ok("x")); FakeServer busy = new FakeServer(c -> {
      c.next();
      done.await();
    }); ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", idle.address(), "ready"),
        ProxyFixture.member("s-2", busy.address(), "ready")), "on_request", 200, 62, ""), module);
        Client first = rig.client(); Client second = rig.client(); Client third = rig.client()) {
      // Six sockets beside what is kept: three clients, three to upstreams.
      first.ask(ProxyFixture.get("t1", ""));
      assertEquals(AttemptStatus.SUCCESS, module.next(AttemptEnded.class).status());
      List<Client> asking = List.of(second, third, first);
      for (int i = 0; i < 3; i++) {
        asking.get(i).write(ProxyFixture.get("busy" + i, "X-Customer: true\r\n"));
        assertNotNull(busy.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS), "the idle connection made room for the third");
      }
      try (Client last = rig.client()) {
        last.ask(ProxyFixture.get("t4", "X-Customer: true\r\n"));
      }
      assertEquals(AttemptStatus.CONNECT_FAILED, module.next(AttemptEnded.class).status(), "nothing is idle");
      done.countDown();
    }
  }
}
