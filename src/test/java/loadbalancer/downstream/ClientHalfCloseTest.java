package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.downstream.DownstreamFixture.DisconnectKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.UnresponsiveUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests clients that half-close their connection and still read: no further attempt is started for
 * them.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ClientHalfCloseTest {

  private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * The client half-closes before the first attempt fails, and the engine is not asked for a second
   * one.
   */
  @Test
  void doesNotRetryForAHalfClosedClient() throws Exception {
    CountDownLatch signal = new CountDownLatch(1);
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                actions.accept(startAttempt(request.requestId(), "s-1"));
              } else if (event instanceof AttemptEnded ended && !ended.isRequestAnswered()) {
                actions.accept(startAttempt(ended.requestId(), "s-1"));
              }
            });
    try (FakeServer upstream = failingAfter(signal);
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine);
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      awaitRequest(upstream);
      client.socket.shutdownOutput();
      DownstreamFixture.awaitInputRead(proxy);
      signal.countDown();
      AttemptEnded ended = engine.awaitEvent(AttemptEnded.class);
      assertEquals(AttemptStatus.ERROR, ended.status());
      assertTrue(ended.isRequestAnswered(), "no further action of the engine is expected");
      assertTrue(
          client.readResponse().startsWith("HTTP/1.1 500 "),
          "the response says that it may have run");
      assertNull(client.readResponse());
      assertNull(upstream.requests.poll(), "not sent again");
    }
  }

  private static FakeServer failingAfter(CountDownLatch signal) throws IOException {
    return new FakeServer(
        connection -> {
          while (connection.readRequest() != null) {
            signal.await();
            connection.write("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
          }
        });
  }

  /**
   * The request was sent to an upstream before the half-close, and the client may still read the
   * response.
   */
  @Test
  void deliversTheResponseToAHalfClosedClient() throws Exception {
    CountDownLatch signal = new CountDownLatch(1);
    ScriptedEngine engine = new ScriptedEngine(ATTEMPT_TIMEOUT_NANOS);
    try (FakeServer upstream = DownstreamFixture.respondingAfter(signal);
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine);
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      awaitRequest(upstream);
      client.socket.shutdownOutput();
      DownstreamFixture.awaitInputRead(proxy);
      signal.countDown();
      String response = client.readResponse();
      assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\nx"), response);
      assertNull(client.readResponse(), "the connection is closed after the response");
    }
  }

  /** The first attempt continues, as its upstream may still respond, but no hedge is sent. */
  @Test
  void doesNotSendAHedgedRequestForAHalfClosedClient() throws Exception {
    AtomicReference<Client> halfClosingClient = new AtomicReference<>();
    CountDownLatch signal = new CountDownLatch(1);
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request && request.workHintNanos() == 0) {
                actions.accept(startAttempt(request.requestId(), "s-1"));
              } else if (event instanceof RequestArrived request) {
                DisconnectKind.HALF_CLOSE.disconnect(halfClosingClient.get());
                actions.accept(startAttempt("r0", "s-2"));
                actions.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (FakeServer firstUpstream = DownstreamFixture.respondingAfter(signal);
        FakeServer secondUpstream = FakeServer.respondingWith(FakeServer.ok("y"));
        ProxyFixture proxy =
            new ProxyFixture(DownstreamFixture.config(firstUpstream, secondUpstream), engine);
        Client client = proxy.client();
        Client otherClient = proxy.client()) {
      halfClosingClient.set(client);
      client.write(ProxyFixture.get("t", ""));
      awaitRequest(firstUpstream);
      String trigger = ProxyFixture.get("trigger", "X-Size-Hint: 7\r\n");
      assertTrue(otherClient.exchange(trigger).startsWith("HTTP/1.1 429 "));
      AttemptEnded hedge = engine.awaitEvent(AttemptEnded.class);
      assertEquals(AttemptStatus.NOT_SENT, hedge.status());
      assertEquals(1, hedge.attempt());
      signal.countDown();
      assertTrue(client.readResponse().endsWith("\r\n\r\nx"), "the response to the first attempt");
      assertNull(client.readResponse());
      assertTrue(secondUpstream.requests.isEmpty(), "not sent");
    }
  }

  /**
   * The client gets its response at once, although the connection to the upstream is still being
   * established.
   */
  @Test
  void rejectsAConnectingRequestAtOnceWhenItsClientHalfCloses() throws Exception {
    ScriptedEngine engine = new ScriptedEngine(0);
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream();
        ProxyFixture proxy =
            new ProxyFixture(configWithLongConnectTimeout(upstream.address()), engine);
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      engine.awaitEvent(RequestArrived.class);
      client.socket.shutdownOutput();
      assertTrue(
          client.readResponse().startsWith("HTTP/1.1 503 "),
          "the response says that it has not run");
      assertNull(client.readResponse());
      engine.awaitEvent(ClientDisconnected.class);
      assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  /** Returns a configuration with one upstream, and a connect timeout that no test reaches. */
  private static BalancerConfig configWithLongConnectTimeout(String address) throws IOException {
    String endpoints =
        ProxyFixture.endpointListJson(1, true, ProxyFixture.endpointJson("s-1", address, "ready"));
    int connectTimeoutMillis = 1000 * ProxyFixture.TIMEOUT_SECONDS;
    return ProxyFixture.config(
        DownstreamFixture.UNREACHABLE_ADDRESS,
        endpoints,
        "on_request",
        connectTimeoutMillis,
        1024,
        "");
  }

  /** The request is queued behind a slow one, and its turn comes after the half-close. */
  @Test
  void rejectsPipelinedRequestsOfAHalfClosedClient() throws Exception {
    CountDownLatch signal = new CountDownLatch(1);
    ScriptedEngine engine = new ScriptedEngine(ATTEMPT_TIMEOUT_NANOS);
    try (FakeServer upstream = DownstreamFixture.respondingAfter(signal);
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine);
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("t1", "") + ProxyFixture.get("t2", ""));
      awaitRequest(upstream);
      client.socket.shutdownOutput();
      DownstreamFixture.awaitInputRead(proxy);
      signal.countDown();
      assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
      assertTrue(
          client.readResponse().startsWith("HTTP/1.1 503 "),
          "the response says that it has not run");
      assertNull(client.readResponse());
      assertNull(upstream.requests.poll(), "not sent");
    }
  }

  /** A partial request gets no response; the connection is just closed. */
  @ParameterizedTest
  @CsvSource({"''", "GET /api HT"})
  void closesAHalfClosedConnectionWithoutACompleteRequest(String partialRequest) throws Exception {
    ScriptedEngine engine = new ScriptedEngine(ATTEMPT_TIMEOUT_NANOS);
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine);
        Client client = proxy.client()) {
      client.write(partialRequest);
      client.socket.shutdownOutput();
      assertNull(client.readResponse());
      assertFalse(client.socket.isClosed());
    }
  }

  private static void awaitRequest(FakeServer upstream) throws InterruptedException {
    assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  private static StartAttempt startAttempt(String requestId, String endpoint) {
    return new StartAttempt(
        requestId, DiscoveryMessages.endpointId(endpoint), ATTEMPT_TIMEOUT_NANOS);
  }
}
