package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.UnresponsiveUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests attempts that are cancelled or must no longer be sent when they could be written. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class WithdrawnAttemptTest {

  private static final long ENDPOINT = DiscoveryMessages.endpointId("s-1");

  private static String drainingList(String upstream) {
    return ProxyFixture.endpointListJson(
        2, false, ProxyFixture.endpointJson("s-1", upstream, "draining"));
  }

  /** Returns an engine that starts an attempt per request and cancels it on client disconnect. */
  private static ScriptedEngine cancellingEngine() {
    return new ScriptedEngine(
        (event, actionSink) -> {
          if (event instanceof RequestArrived request) {
            actionSink.accept(new StartAttempt(request.requestId(), ENDPOINT, 0));
          } else if (event instanceof ClientDisconnected disconnected) {
            actionSink.accept(new CancelAttempt(disconnected.requestId(), 0));
          }
        });
  }

  @Test
  void doesNotWriteConnectingAttemptOnceEndpointDrains() throws Exception {
    CountDownLatch drainAllowed = new CountDownLatch(1);
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream();
        FakeServer discovery =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  drainAllowed.await();
                  connection.write(
                      DiscoveryMessages.watchResponse(drainingList(upstream.address())));
                  connection.readRequest();
                })) {
      ScriptedEngine engine =
          new ScriptedEngine(
              (event, actionSink) -> {
                if (event instanceof EndpointListUpdate update
                    && update.kind() == UpdateKind.CACHED) {
                  actionSink.accept(new WatchEndpoints(true));
                } else if (event instanceof RequestArrived request) {
                  actionSink.accept(new StartAttempt(request.requestId(), ENDPOINT, 0));
                } else if (event instanceof AttemptEnded attemptEnded) {
                  actionSink.accept(new FailRequest(attemptEnded.requestId()));
                }
              });
      BalancerConfig config =
          SingleEndpoint.configWithLongConnectTimeout(discovery.address(), upstream.address());
      try (ProxyFixture proxy = new ProxyFixture(config, engine);
          Client client = proxy.client()) {
        client.write(ProxyFixture.get("t", ""));
        engine.awaitEvent(RequestArrived.class);
        drainAllowed.countDown();
        assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
      }
    }
  }

  @Test
  void doesNotWriteConnectingAttemptOnceClientHasDisconnected() throws Exception {
    ScriptedEngine engine = cancellingEngine();
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream();
        ProxyFixture proxy =
            new ProxyFixture(
                SingleEndpoint.configWithLongConnectTimeout(
                    SingleEndpoint.NO_DISCOVERY, upstream.address()),
                engine)) {
      try (Client client = proxy.client()) {
        client.write(ProxyFixture.get("t", ""));
        engine.awaitEvent(RequestArrived.class);
      }
      engine.awaitEvent(ClientDisconnected.class);
      assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  /**
   * Upstreams deduplicate requests with the same idempotency key only within a time window, so a
   * request may be retried only within that window. Here the retry is decided within the window but
   * its connection is established after it.
   */
  @Test
  void doesNotWriteRetryWhoseConnectionIsEstablishedAfterDedupWindow() throws Exception {
    try (FakeServer breakingUpstream = new FakeServer(FakeServer.Connection::readRequest);
        UnresponsiveUpstream lateUpstream = new UnresponsiveUpstream()) {
      ScriptedEngine engine =
          new ScriptedEngine(
              (event, actionSink) -> {
                if (event instanceof RequestArrived request) {
                  actionSink.accept(new StartAttempt(request.requestId(), ENDPOINT, 0));
                } else if (event instanceof AttemptEnded attemptEnded
                    && attemptEnded.attempt() == 0) {
                  long otherEndpoint = DiscoveryMessages.endpointId("s-2");
                  actionSink.accept(new StartAttempt(attemptEnded.requestId(), otherEndpoint, 0));
                } else if (event instanceof AttemptEnded attemptEnded) {
                  actionSink.accept(new FailRequest(attemptEnded.requestId()));
                }
              });
      String list =
          ProxyFixture.endpointListJson(
              1,
              true,
              ProxyFixture.endpointJson("s-1", breakingUpstream.address(), "ready"),
              ProxyFixture.endpointJson("s-2", lateUpstream.address(), "ready"));
      int connectTimeoutMillis = 1000 * ProxyFixture.TIMEOUT_SECONDS;
      String configText =
          ProxyFixture.configText(
              SingleEndpoint.NO_DISCOVERY, list, "on_request", connectTimeoutMillis, 1024, "");
      BalancerConfig config =
          BalancerConfig.parse(
              configText.replace("\"window-ns\":2000000000", "\"window-ns\":300000000"), Map.of());
      try (ProxyFixture proxy = new ProxyFixture(config, engine);
          Client client = proxy.client()) {
        client.write(ProxyFixture.post("t", "Idempotency-Key: k\r\n", "body"));
        assertEquals(AttemptStatus.RESET, engine.awaitEvent(AttemptEnded.class).status());
        Thread.sleep(400); // The window ends before the connection can be established.
        try (Socket connection = lateUpstream.accept()) {
          assertEquals(-1, connection.getInputStream().read(), "nothing was written");
        }
        assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
        assertTrue(client.readResponse().startsWith("HTTP/1.1 502 "));
      }
    }
  }

  /**
   * An endpoint list is applied before the engine is notified of it. An attempt that the engine
   * starts on a draining endpoint is therefore not sent.
   */
  @Test
  void doesNotWriteAttemptDecidedBeforeEngineIsNotifiedOfDrain() throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        FakeServer discovery =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  connection.write(
                      DiscoveryMessages.watchResponse(drainingList(upstream.address())));
                  connection.awaitClose();
                })) {
      List<String> requestIds = new ArrayList<>();
      ScriptedEngine engine =
          new ScriptedEngine(
              (event, actionSink) -> {
                if (event instanceof RequestArrived request) {
                  requestIds.add(request.requestId());
                  actionSink.accept(new WatchEndpoints(true));
                } else if (event instanceof EndpointListUpdate update
                    && update.kind() == UpdateKind.DELTA) {
                  actionSink.accept(new StartAttempt(requestIds.get(0), ENDPOINT, 0));
                } else if (event instanceof AttemptEnded attemptEnded) {
                  actionSink.accept(new FailRequest(attemptEnded.requestId()));
                }
              });
      BalancerConfig config = SingleEndpoint.config(discovery.address(), upstream.address());
      try (ProxyFixture proxy = new ProxyFixture(config, engine);
          Client client = proxy.client()) {
        assertTrue(client.exchange(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 502 "));
        assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
        assertNull(upstream.requests.poll());
      }
    }
  }

  @Test
  void cancellationClosesConnection() throws Exception {
    ScriptedEngine engine = cancellingEngine();
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  new CountDownLatch(1).await(); // Only the proxy can close the connection.
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine)) {
      FakeServer.Connection connection;
      try (Client client = proxy.client()) {
        client.write(ProxyFixture.get("t", ""));
        assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        connection = upstream.connections.take();
        // Reset the connection: a half-closed client would still wait for the response.
        client.socket.setSoLinger(true, 0);
      }
      assertEquals(AttemptStatus.CANCELLED, engine.awaitEvent(AttemptEnded.class).status());
      assertTrue(connection.awaitClose());
    }
  }
}
