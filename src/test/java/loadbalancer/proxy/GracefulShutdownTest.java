package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Settings;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A proxy shuts down while clients continue to send requests. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class GracefulShutdownTest {

  private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  /** Header of a trigger request, at which the engine runs the test's step on the event loop. */
  private static final String TRIGGER_HEADER = "X-Size-Hint: 7\r\n";

  private static BalancerConfig config(long deadlineMillis) throws IOException {
    String text =
        ProxyFixture.configText(
            "127.0.0.1:1", ProxyFixture.endpointListJson(1, true), "on_request", 200, 1024, "");
    return BalancerConfig.parse(
        text.replace(
            "\"deadline-ns\":40000000000", "\"deadline-ns\":" + deadlineMillis * 1_000_000),
        Map.of());
  }

  private static Thread startShutdown(ProxyFixture proxy) {
    Thread shutdown = new Thread(proxy.server::shutDownGracefully);
    shutdown.start();
    proxy.server.awaitShutdownStart();
    return shutdown;
  }

  private static void awaitEnd(Thread shutdown) throws InterruptedException {
    shutdown.join(TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
    assertTrue(!shutdown.isAlive(), "terminates");
  }

  private static void write(Client client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** SIGKILL may come at the longest deadline plus 0.7 s, counted from SIGTERM. */
  @Test
  void completesAllRequestsBeforeSigkillMayCome() throws IOException {
    String text =
        ProxyFixture.configText(
            "127.0.0.1:1", ProxyFixture.endpointListJson(1, true), "on_request", 200, 1024, "");
    Settings shortDeadlines =
        BalancerConfig.parse(text.replace("40000000000", "1940000000"), Map.of()).settings();
    assertTrue(GracefulShutdown.expiryMillis(shortDeadlines) < 1940 + 700);
    Settings longDeadlines = BalancerConfig.parse(text, Map.of()).settings();
    assertTrue(GracefulShutdown.expiryMillis(longDeadlines) < 3000 + 700);
  }

  /**
   * The event loop is busy when the request arrives, and closes idle connections before it reads
   * its sockets again. Closing the socket with the unread request would reset the connection.
   */
  @Test
  void servesARequestThatIsInTheKernelWhenIdleConnectionsClose() throws Exception {
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    AtomicReference<Client> idle = new AtomicReference<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                if (request.workHintNanos() > 0) {
                  write(idle.get(), ProxyFixture.get("unread", ""));
                  started.get().server.listener().closeIdleConnections();
                }
                actions.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (ProxyFixture proxy = new ProxyFixture(config(40_000), engine);
        Client client = proxy.client();
        Client other = proxy.client()) {
      started.set(proxy);
      idle.set(client);
      assertNotNull(client.exchange(HEALTH_REQUEST), "open and then idle");
      assertTrue(
          other.exchange(ProxyFixture.get("trigger", TRIGGER_HEADER)).startsWith("HTTP/1.1 429 "));
      String response = client.readResponse();
      assertNotNull(response, "closed despite an unread request");
      assertTrue(
          response.startsWith("HTTP/1.1 429 ") && response.contains("connection: close\r\n"),
          response);
      assertNull(client.readResponse());
    }
  }

  /**
   * An operation in the event loop turn in which a request arrives, before the loop reads its
   * sockets again.
   */
  private enum ConcurrentOperation {
    /** The listener closes while a connection with a request is in the kernel's queue. */
    LISTENER_CLOSES {
      @Override
      Client perform(ProxyFixture proxy, Client open) throws IOException {
        Client accepted = proxy.client().write(ProxyFixture.get("unread", ""));
        proxy.server.listener().stopAccepting();
        return accepted;
      }
    },
    /** The time for incomplete requests ends while a complete request is unread. */
    INCOMPLETE_REQUESTS_EXPIRE {
      @Override
      Client perform(ProxyFixture proxy, Client open) throws IOException {
        open.write(ProxyFixture.get("unread", ""));
        proxy.server.listener().expireIncompleteRequests();
        return open;
      }
    };

    /**
     * Performs the operation on the event loop.
     *
     * @param open a client that has not sent anything
     * @return the client whose request is unread
     */
    abstract Client perform(ProxyFixture proxy, Client open) throws IOException;
  }

  /**
   * The operation is performed while a request is unread in the kernel. The client that sent it
   * must get a response instead of a reset or an error for an incomplete request.
   */
  @ParameterizedTest
  @EnumSource(ConcurrentOperation.class)
  void respondsToARequestThatIsInTheKernel(ConcurrentOperation operation) throws Exception {
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    AtomicReference<Client> open = new AtomicReference<>();
    CompletableFuture<Client> requestingClient = new CompletableFuture<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                if (request.workHintNanos() > 0) {
                  try {
                    requestingClient.complete(operation.perform(started.get(), open.get()));
                  } catch (IOException e) {
                    requestingClient.completeExceptionally(e);
                  }
                }
                actions.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (ProxyFixture proxy = new ProxyFixture(config(40_000), engine);
        Client client = proxy.client();
        Client other = proxy.client()) {
      started.set(proxy);
      open.set(client);
      assertTrue(
          other.exchange(ProxyFixture.get("trigger", TRIGGER_HEADER)).startsWith("HTTP/1.1 429 "));
      try (Client requesting =
          requestingClient.get(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        String response = requesting.readResponse();
        assertNotNull(response, "closed despite an unread request");
        assertTrue(response.startsWith("HTTP/1.1 429 "), response);
      }
    }
  }

  /**
   * The event loop is blocked right before the expiry, and must still complete all requests in
   * flight before the earliest SIGKILL.
   */
  @Test
  void completesAllRequestsBeforeSigkillWhenTheEventLoopIsBlocked() throws Exception {
    long deadlineMillis = 300;
    BalancerConfig config = config(deadlineMillis);
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request && request.workHintNanos() > 0) {
                try {
                  Thread.sleep(450); // The test depends on the elapsed time.
                } catch (InterruptedException e) {
                  Thread.currentThread().interrupt();
                }
              }
            });
    try (ProxyFixture proxy = new ProxyFixture(config, engine);
        Client busy = proxy.client();
        Client waiting = proxy.client();
        Client late = proxy.client()) {
      assertNotNull(late.exchange(HEALTH_REQUEST));
      long startNanos = System.nanoTime();
      Thread shutdown = startShutdown(proxy);
      Thread.sleep(GracefulShutdown.expiryMillis(config.settings()) - 60);
      waiting.write(ProxyFixture.get("held", ""));
      busy.write(ProxyFixture.get("hold", TRIGGER_HEADER));
      Thread.sleep(50);
      late.write(ProxyFixture.get("unread", ""));
      for (Client client : List.of(waiting, busy, late)) {
        assertTrue(client.readResponse().startsWith("HTTP/1.1 50"), "a complete response");
      }
      awaitEnd(shutdown);
      long durationMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      assertTrue(
          durationMillis < deadlineMillis + 700,
          "SIGKILL comes before the end at " + durationMillis + " ms");
    }
  }

  /**
   * Clients open new connections for up to 0.4 s after SIGTERM. The process must not end before
   * that, even if the longest deadline is 0.3 s.
   */
  @Test
  void acceptsNewConnectionsEvenIfDeadlinesAreShort() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                actions.accept(new RejectRequest(request.requestId(), 0));
              }
            });
    try (ProxyFixture proxy = new ProxyFixture(config(300), engine)) {
      Thread shutdown = startShutdown(proxy);
      Thread.sleep(400); // The test depends on the elapsed time.
      try (Client late = proxy.client()) {
        assertTrue(late.exchange(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 429 "));
      }
      awaitEnd(shutdown);
    }
  }

  @Test
  void servesNewAndOpenConnectionsAndThenClosesThem() throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(
                    "127.0.0.1:1",
                    ProxyFixture.endpointListJson(
                        1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready"))));
        Client earlier = proxy.client()) {
      assertTrue(earlier.exchange(ProxyFixture.get("t1", "")).startsWith("HTTP/1.1 200 "));
      Thread shutdown = startShutdown(proxy);
      try (Client late = proxy.client()) {
        assertTrue(late.exchange(HEALTH_REQUEST).startsWith("HTTP/1.1 503 "), "health checks fail");
        assertTrue(late.exchange(ProxyFixture.get("t2", "")).startsWith("HTTP/1.1 200 "));
        assertNull(late.readResponse(), "the connection closes after its response");
      }
      assertNull(earlier.readResponse(), "an earlier connection closes too");
      shutdown.join(TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
      assertTrue(!shutdown.isAlive(), "terminates once no client is left");
    }
  }

  /**
   * At the expiry, the request in flight fails, the one that waits behind it is rejected, and an
   * incomplete request is timed out.
   */
  @Test
  void respondsToEverythingBeforeTheEnd() throws Exception {
    ScriptedEngine engine = new ScriptedEngine((event, actions) -> {});
    try (ProxyFixture proxy = new ProxyFixture(config(40_000), engine);
        Client client = proxy.client();
        Client slow = proxy.client()) {
      client.write(ProxyFixture.get("t1", "") + ProxyFixture.get("t2", ""));
      assertEquals("r0", engine.awaitEvent(RequestArrived.class).requestId());
      Thread shutdown = startShutdown(proxy);
      assertNotNull(slow.exchange(HEALTH_REQUEST));
      // Sent before idle connections are closed, and late enough not to reach its own time limit.
      Thread.sleep(1700);
      slow.write("POST /api HT");
      assertTrue(client.readResponse().startsWith("HTTP/1.1 500 "), "in flight");
      assertTrue(client.readResponse().startsWith("HTTP/1.1 503 "), "not attempted");
      assertTrue(slow.readResponse().startsWith("HTTP/1.1 408 "));
      awaitEnd(shutdown);
    }
  }
}
