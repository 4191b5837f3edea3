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

/** Clients that disconnect while their request is queued, or while an attempt is decided. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ClientDisconnectTest {

  private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** The engine queues the request, so that no attempt of it can end. */
  @Test
  void reportsDisconnectOfAClientWhoseRequestIsQueued() throws Exception {
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

  /** The connection has to be read on behind pipelined requests, or its end goes unnoticed. */
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

  /** The engine decides while the disconnect is in the kernel and not read yet. */
  @ParameterizedTest
  @EnumSource(DisconnectKind.class)
  void doesNotSendAnAttemptDecidedWhileItsClientDisconnects(DisconnectKind kind) throws Exception {
    AtomicReference<Client> disconnecting = new AtomicReference<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                if (disconnecting.get() != null) {
                  kind.apply(disconnecting.getAndSet(null));
                }
                actions.accept(startAttempt(request.requestId(), "s-1"));
              }
            });
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream), engine);
        Client client = proxy.client();
        Client other = proxy.client()) {
      disconnecting.set(client);
      client.write(ProxyFixture.get("leaves", ""));
      assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
      if (kind == DisconnectKind.HALF_CLOSE) {
        assertTrue(
            client.readResponse().startsWith("HTTP/1.1 503 "), "a final response: it has not run");
        assertNull(client.readResponse());
      }
      assertTrue(other.exchange(ProxyFixture.get("stays", "")).startsWith("HTTP/1.1 200 "));
      assertTrue(
          upstream.requests.take().contains("X-Trace-Id: stays\r\n"), "the only one that was sent");
    }
  }

  /** The same for a retry, decided in the turn of the event loop in which the client leaves. */
  @ParameterizedTest
  @EnumSource(DisconnectKind.class)
  void doesNotSendARetryOnceItsClientHasDisconnected(DisconnectKind kind) throws Exception {
    AtomicReference<Client> disconnecting = new AtomicReference<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                actions.accept(startAttempt(request.requestId(), "s-1"));
              } else if (event instanceof AttemptEnded ended && ended.attempt() == 0) {
                kind.apply(disconnecting.get());
                actions.accept(startAttempt(ended.requestId(), "s-2"));
              }
            });
    String rejection = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n";
    try (FakeServer rejecting = FakeServer.respondingWith(rejection);
        FakeServer second = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(rejecting, second), engine);
        Client client = proxy.client()) {
      disconnecting.set(client);
      client.write(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.REJECTED, engine.awaitEvent(AttemptEnded.class).status());
      AttemptEnded retry = engine.awaitEvent(AttemptEnded.class);
      assertEquals(AttemptStatus.NOT_SENT, retry.status());
      assertTrue(retry.isRequestAnswered(), "no further action of the engine is expected");
      if (kind == DisconnectKind.HALF_CLOSE) {
        assertTrue(client.readResponse().startsWith("HTTP/1.1 503 "), "it has not run");
      }
      assertTrue(second.connections.isEmpty(), "not sent");
    }
  }

  private static StartAttempt startAttempt(String requestId, String endpoint) {
    return new StartAttempt(
        requestId, DiscoveryMessages.endpointId(endpoint), ATTEMPT_TIMEOUT_NANOS);
  }
}
