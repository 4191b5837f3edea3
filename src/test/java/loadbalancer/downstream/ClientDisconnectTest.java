package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests clients that disconnect while their request waits for an attempt, or while the engine
 * starts an attempt.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ClientDisconnectTest {

  private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * The engine starts no attempt of the request, so that the end of an attempt cannot be reported
   * instead.
   */
  @Test
  void reportsDisconnectOfAClientWhoseRequestHasNoAttempt() throws Exception {
    ScriptedEngine engine = new ScriptedEngine((event, actions) -> {});
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine)) {
      try (Client client = proxy.client()) {
        client.write(ProxyFixture.get("t", ""));
        engine.awaitEvent(RequestArrived.class);
      }
      engine.awaitEvent(ClientDisconnected.class);
    }
  }

  /** Input must be read even while requests are queued; the disconnect is not noticed otherwise. */
  @Test
  void reportsDisconnectOfAClientWithPipelinedRequests() throws Exception {
    ScriptedEngine engine = new ScriptedEngine((event, actions) -> {});
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine)) {
      try (Client client = proxy.client()) {
        client.write(ProxyFixture.get("t1", ""));
        engine.awaitEvent(RequestArrived.class);
        client.write(ProxyFixture.get("t2", "")).write(ProxyFixture.get("t3", ""));
      }
      engine.awaitEvent(ClientDisconnected.class);
    }
  }

  /**
   * The engine starts the attempt when the disconnect has reached the kernel and has not been read.
   */
  @ParameterizedTest
  @EnumSource(DisconnectKind.class)
  void doesNotSendAnAttemptDecidedWhileItsClientDisconnects(DisconnectKind kind) throws Exception {
    AtomicReference<Client> disconnectingClient = new AtomicReference<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                if (disconnectingClient.get() != null) {
                  kind.disconnect(disconnectingClient.getAndSet(null));
                }
                actions.accept(startAttempt(request.requestId(), "s-1"));
              }
            });
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine);
        Client client = proxy.client();
        Client otherClient = proxy.client()) {
      disconnectingClient.set(client);
      client.write(ProxyFixture.get("leaves", ""));
      assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
      if (kind == DisconnectKind.HALF_CLOSE) {
        assertTrue(
            client.readResponse().startsWith("HTTP/1.1 503 "),
            "the response says that it has not run");
        assertNull(client.readResponse());
      }
      assertTrue(otherClient.exchange(ProxyFixture.get("stays", "")).startsWith("HTTP/1.1 200 "));
      assertTrue(
          upstream.requests.take().contains("X-Trace-Id: stays\r\n"), "the only one that was sent");
    }
  }

  /**
   * The client disconnects while the engine handles the end of the first attempt, just before the
   * engine starts the retry.
   */
  @ParameterizedTest
  @EnumSource(DisconnectKind.class)
  void doesNotSendARetryOnceItsClientHasDisconnected(DisconnectKind kind) throws Exception {
    AtomicReference<Client> disconnectingClient = new AtomicReference<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                actions.accept(startAttempt(request.requestId(), "s-1"));
              } else if (event instanceof AttemptEnded ended && ended.attempt() == 0) {
                kind.disconnect(disconnectingClient.get());
                actions.accept(startAttempt(ended.requestId(), "s-2"));
              }
            });
    String rejection = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
    try (FakeServer rejectingUpstream = FakeServer.respondingWith(rejection);
        FakeServer secondUpstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy =
            new ProxyFixture(DownstreamFixture.config(rejectingUpstream, secondUpstream), engine);
        Client client = proxy.client()) {
      disconnectingClient.set(client);
      client.write(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.REJECTED, engine.awaitEvent(AttemptEnded.class).status());
      AttemptEnded retry = engine.awaitEvent(AttemptEnded.class);
      assertEquals(AttemptStatus.NOT_SENT, retry.status());
      assertTrue(retry.isRequestAnswered(), "no further action of the engine is expected");
      if (kind == DisconnectKind.HALF_CLOSE) {
        assertTrue(
            client.readResponse().startsWith("HTTP/1.1 503 "),
            "the response says that it has not run");
      }
      assertTrue(secondUpstream.connections.isEmpty(), "the second attempt was not sent");
    }
  }

  private static StartAttempt startAttempt(String requestId, String endpoint) {
    return new StartAttempt(
        requestId, DiscoveryMessages.endpointId(endpoint), ATTEMPT_TIMEOUT_NANOS);
  }
}
