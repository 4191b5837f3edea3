package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.http.HttpProtocol;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Input that arrives at the moment at which a connection is closed, shut down or reused. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ConnectionCloseTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final String TRIGGER_HEADER = "X-Size-Hint: 7\r\n";

  private static void write(Client client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Input that is unread when the last response of a connection is written does not become a
   * request, as no response to it could be sent. The same applies to a complete request behind one
   * that asked for the close.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"true | GET /api HT", "false | GET /api HT", "true | WHOLE"})
  void discardsInputAfterTheLastResponse(boolean closeRequestedByClient, String unread)
      throws Exception {
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    AtomicReference<Client> requestingClient = new AtomicReference<>();
    String unreadInput = unread.equals("WHOLE") ? ProxyFixture.get("unread", "") : unread;
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, out) -> {
              if (event instanceof RequestArrived request) {
                if (!closeRequestedByClient) {
                  started.get().server.listener().closeIdleConnections();
                }
                write(requestingClient.get(), unreadInput);
                out.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(UNREACHABLE, ProxyFixture.endpointListJson(1, true)), engine);
        Client client = proxy.client()) {
      started.set(proxy);
      requestingClient.set(client);
      String response =
          client.exchange(
              ProxyFixture.get("t", closeRequestedByClient ? "Connection: close\r\n" : ""));
      assertTrue(
          response.startsWith("HTTP/1.1 429 ") && response.contains("connection: close\r\n"),
          response);
      assertNull(client.readResponse(), "the end of the stream");
      engine.awaitEvent(RequestArrived.class);
      assertTrue(
          engine.events.stream().noneMatch(e -> e instanceof RequestArrived),
          "input after the last response becomes no request");
    }
  }

  /**
   * When the proxy closes a connection by itself, it first serves a request that has already
   * arrived, which would otherwise be lost.
   */
  @Test
  void respondsToARequestThatArrivesBeforeTheLastResponseOfAShutdown() throws Exception {
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    AtomicReference<Client> requestingClient = new AtomicReference<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, out) -> {
              if (event instanceof RequestArrived request) {
                if (requestingClient.get() != null) {
                  started.get().server.listener().closeIdleConnections();
                  write(requestingClient.getAndSet(null), ProxyFixture.get("unread", ""));
                }
                out.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(UNREACHABLE, ProxyFixture.endpointListJson(1, true)), engine);
        Client client = proxy.client()) {
      started.set(proxy);
      requestingClient.set(client);
      String first = client.exchange(ProxyFixture.get("t", ""));
      assertTrue(first.startsWith("HTTP/1.1 429 "), first);
      assertFalse(first.contains("connection: close\r\n"), first);
      String second = client.readResponse();
      assertNotNull(second, "closed despite an unread request");
      assertTrue(second.contains("connection: close\r\n"), second);
      assertNull(client.readResponse(), "the end of the stream");
    }
  }

  /**
   * Returns an engine that forwards the request, after closing idle connections if the client did
   * not ask for the close, and writes more input in the turn in which the response was written.
   */
  private static ScriptedEngine engineForwardingThenWriting(
      Socket client, AtomicReference<ProxyFixture> started, boolean closeRequestedByClient) {
    return new ScriptedEngine(
        (event, out) -> {
          if (event instanceof RequestArrived request) {
            if (!closeRequestedByClient) {
              started.get().server.listener().closeIdleConnections();
            }
            out.accept(
                new StartAttempt(
                    request.requestId(), DiscoveryMessages.endpointId("s-1"), LONG_TIMEOUT_NANOS));
          } else if (event instanceof AttemptEnded end && end.isRequestAnswered()) {
            // In the turn in which the response was written, and after the write.
            try {
              client.getOutputStream().write("GET /api HT".getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
              throw new UncheckedIOException(e);
            }
          }
        });
  }

  /**
   * More input arrives right after the last response of a connection is written, while the client
   * has read nothing of it. Closing a socket with unread input resets the connection, and the
   * undelivered part of the response is lost.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void doesNotResetTheTailOfTheLastResponse(boolean closeRequestedByClient) throws Exception {
    String body = "b".repeat(HttpProtocol.MAX_BODY_BYTES);
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok(body));
        Socket client = new Socket()) {
      ScriptedEngine engine = engineForwardingThenWriting(client, started, closeRequestedByClient);
      try (ProxyFixture proxy =
          new ProxyFixture(
              ProxyFixture.config(
                  UNREACHABLE,
                  ProxyFixture.endpointListJson(
                      1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready"))),
              engine)) {
        started.set(proxy);
        client.setReceiveBufferSize(2048);
        client.connect(proxy.server.address());
        client.setSoTimeout(ProxyFixture.TIMEOUT_SECONDS * 1000);
        client
            .getOutputStream()
            .write(
                ProxyFixture.get("t", closeRequestedByClient ? "Connection: close\r\n" : "")
                    .getBytes(StandardCharsets.ISO_8859_1));
        engine.awaitEvent(AttemptEnded.class);
        for (int i = 0; i < 2; i++) {
          try (Client other = proxy.client()) {
            other.exchange(HEALTH_REQUEST); // Lets a close in an earlier turn complete.
          }
        }
        InputStream in = new BufferedInputStream(client.getInputStream());
        String response = FakeServer.MessageReader.read(in);
        assertTrue(
            response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\n" + body),
            "the whole response");
        assertEquals(-1, in.read(), "the connection ends");
      }
    }
  }

  /** Input on an idle upstream connection that arrives in the turn in which it is reused. */
  private enum LateInput {
    PARTIAL_STATUS_LINE(c -> c.write("HTTP/1.1 20")),
    STATUS_LINE(c -> c.write("HTTP/1.1 200 OK\r\n")),
    SECOND_RESPONSE(c -> c.write(FakeServer.ok("surplus"))),
    CONNECTION_RESET(FakeServer.Connection::reset);

    @SuppressWarnings("ImmutableEnumChecker") // Scripts are stateless.
    final FakeServer.Script script;

    LateInput(FakeServer.Script script) {
      this.script = script;
    }
  }

  /**
   * Returns an engine that at a trigger request starts the attempt of a held request, once the
   * input on the idle connection is in the kernel.
   */
  private static ScriptedEngine engineReusingOnTrigger(
      CountDownLatch trigger, CountDownLatch done) {
    List<String> held = new ArrayList<>();
    return new ScriptedEngine(
        (event, out) -> {
          if (event instanceof RequestArrived request && request.workHintNanos() > 0) {
            trigger.countDown();
            try {
              assertTrue(done.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
            } catch (InterruptedException e) {
              throw new IllegalStateException(e);
            }
            out.accept(
                new StartAttempt(
                    held.get(0), DiscoveryMessages.endpointId("s-1"), LONG_TIMEOUT_NANOS));
            out.accept(new RejectRequest(request.requestId(), 0));
          } else if (event instanceof RequestArrived request && request.tenant() != null) {
            held.add(request.requestId());
          } else if (event instanceof RequestArrived request) {
            out.accept(
                new StartAttempt(
                    request.requestId(), DiscoveryMessages.endpointId("s-1"), LONG_TIMEOUT_NANOS));
          } else if (event instanceof AttemptEnded end && !end.isRequestAnswered()) {
            out.accept(new FailRequest(end.requestId()));
          }
        });
  }

  /** Returns an upstream that produces the late input after its first response, once triggered. */
  private static FakeServer upstreamWithLateInput(
      LateInput lateInput, CountDownLatch trigger, CountDownLatch done) throws IOException {
    return new FakeServer(
        c -> {
          for (String request = c.readRequest(); request != null; request = c.readRequest()) {
            boolean isFirst = request.contains("X-Trace-Id: t1");
            c.write(FakeServer.ok(isFirst ? "first" : "second"));
            if (isFirst) {
              trigger.await();
              // This thread also reads the socket: a close by another one would delay the reset
              // until the read call had returned.
              lateInput.script.run(c);
              done.countDown();
            }
          }
        });
  }

  /**
   * The input is in the kernel and the event loop has not read it: the request is sent on another
   * connection.
   */
  @ParameterizedTest
  @EnumSource(LateInput.class)
  void doesNotReuseAnUpstreamConnectionWithUnreadInput(LateInput lateInput) throws Exception {
    CountDownLatch trigger = new CountDownLatch(1);
    CountDownLatch done = new CountDownLatch(1);
    ScriptedEngine engine = engineReusingOnTrigger(trigger, done);
    try (FakeServer upstream = upstreamWithLateInput(lateInput, trigger, done);
        ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(
                    UNREACHABLE,
                    ProxyFixture.endpointListJson(
                        1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready"))),
                engine);
        Client client = proxy.client();
        Client other = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t1", "")).endsWith("\r\n\r\nfirst"));
      upstream.connections.take();
      engine.awaitEvent(AttemptEnded.class);
      client.write(ProxyFixture.get("t2", "X-Customer: held\r\n"));
      engine.awaitEvent(RequestArrived.class);
      Thread.sleep(50); // The upstream connection is reusable by then.
      assertTrue(
          other.exchange(ProxyFixture.get("trigger", TRIGGER_HEADER)).startsWith("HTTP/1.1 429 "));
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
      assertTrue(client.readResponse().endsWith("\r\n\r\nsecond"), "its own response");
      assertEquals(1, upstream.connections.size(), "on another connection");
    }
  }

  /**
   * Returns an engine that at a trigger request makes one client write a request and another one
   * connect.
   */
  private static ScriptedEngine engineConnectingOnTrigger(
      AtomicReference<ProxyFixture> started,
      AtomicReference<Client> unread,
      CompletableFuture<Client> accepted) {
    return new ScriptedEngine(
        (event, out) -> {
          if (event instanceof RequestArrived request) {
            if (request.workHintNanos() > 0) {
              write(unread.get(), ProxyFixture.get("unread", ""));
              try {
                accepted.complete(started.get().client());
              } catch (IOException e) {
                accepted.completeExceptionally(e);
              }
              started.get().server.listener().stopAccepting(); // Accepts pending connections.
            }
            out.accept(new RejectRequest(request.requestId(), 0));
          }
        });
  }

  /**
   * Descriptors run out while a request is unread on the connection that would be closed first:
   * another connection is closed.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void doesNotCloseAConnectionWithAnUnreadRequest(boolean servedBefore) throws Exception {
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    AtomicReference<Client> unreadClient = new AtomicReference<>();
    CompletableFuture<Client> accepted = new CompletableFuture<>();
    ScriptedEngine engine = engineConnectingOnTrigger(started, unreadClient, accepted);
    // At the limit of three clients, the one that connected first is closed first.
    BalancerConfig config =
        ProxyFixture.config(
            UNREACHABLE, ProxyFixture.endpointListJson(1, true), "on_request", 200, 62, "");
    try (ProxyFixture proxy = new ProxyFixture(config, engine);
        Client requesting = proxy.client()) {
      if (servedBefore) {
        assertNotNull(requesting.exchange(HEALTH_REQUEST));
      }
      try (Client triggerClient = proxy.client();
          Client idle = proxy.client()) {
        assertNotNull(triggerClient.exchange(HEALTH_REQUEST));
        if (servedBefore) {
          assertNotNull(idle.exchange(HEALTH_REQUEST));
        }
        started.set(proxy);
        unreadClient.set(requesting);
        assertTrue(
            triggerClient
                .exchange(ProxyFixture.get("trigger", TRIGGER_HEADER))
                .startsWith("HTTP/1.1 429 "));
        String response = requesting.readResponse();
        assertNotNull(response, "closed despite an unread request");
        assertTrue(response.startsWith("HTTP/1.1 429 "), response);
        assertNull(idle.readResponse(), "closed instead");
        accepted.get(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS).close();
      }
    }
  }

  /** A client that is idle when the proxy closes its connection sees the end of the stream. */
  @Test
  void endsIdleConnectionsAtShutdown() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, out) -> {
              if (event instanceof RequestArrived request) {
                out.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(UNREACHABLE, ProxyFixture.endpointListJson(1, true)), engine);
        Client idle = proxy.client()) {
      assertNotNull(idle.exchange(HEALTH_REQUEST));
      Thread shutdown = new Thread(proxy.server::shutDownGracefully);
      shutdown.start();
      proxy.server.awaitShutdownStart();
      assertNull(idle.readResponse(), "the connection ends");
      shutdown.join(TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
      assertFalse(shutdown.isAlive(), "the shutdown ends");
      assertTrue(engine.events.stream().noneMatch(e -> e instanceof RequestArrived));
    }
  }
}
