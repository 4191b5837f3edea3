package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.UnresponsiveUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The timeout that an attempt announces to its upstream never exceeds the time that the client
 * still waits when the attempt is written.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class RemainingTimeTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final Pattern TIMEOUT_HEADER =
      Pattern.compile("X-Expires-In-Ms: (\\d+)\r\n", Pattern.CASE_INSENSITIVE);

  private static long timeoutMillis(String request) {
    Matcher matcher = TIMEOUT_HEADER.matcher(request);
    assertTrue(matcher.find(), request);
    return Long.parseLong(matcher.group(1));
  }

  private static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private static BalancerConfig config(String first, String second) throws IOException {
    return ProxyFixture.config(
        UNREACHABLE,
        ProxyFixture.endpointListJson(
            1,
            true,
            ProxyFixture.endpointJson("s-1", first, "ready"),
            ProxyFixture.endpointJson("s-2", second, "ready")),
        "on_request",
        1000 * ProxyFixture.TIMEOUT_SECONDS,
        1024,
        "");
  }

  /**
   * The first attempt or a further one waits for its connection. The announced timeout must be the
   * time that is left when the attempt is written, not when it was decided.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void announcesTheTimeLeftWhenAConnectionIsEstablishedLate(boolean isRetry) throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, out) -> {
              if (event instanceof RequestArrived request) {
                out.accept(
                    new StartAttempt(
                        request.requestId(),
                        DiscoveryMessages.endpointId(isRetry ? "s-1" : "s-2"),
                        0));
              } else if (event instanceof AttemptEnded end && isRetry && end.attempt() == 0) {
                out.accept(
                    new StartAttempt(end.requestId(), DiscoveryMessages.endpointId("s-2"), 0));
              } else if (event instanceof AttemptEnded end && !end.isRequestAnswered()) {
                out.accept(new FailRequest(end.requestId()));
              }
            });
    try (FakeServer rejecting =
            FakeServer.respondingWith(
                "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        UnresponsiveUpstream late = new UnresponsiveUpstream();
        ProxyFixture proxy = new ProxyFixture(config(rejecting.address(), late.address()), engine);
        Client client = proxy.client()) {
      long startNanos = System.nanoTime();
      client.write(ProxyFixture.get("t", "X-Expires-In-Ms: 30000\r\n"));
      engine.awaitEvent(RequestArrived.class);
      if (isRetry) {
        assertEquals(AttemptStatus.REJECTED, engine.awaitEvent(AttemptEnded.class).status());
      }
      Thread.sleep(400); // The backlog is full until then; the test depends on the delay.
      long elapsed = millisSince(startNanos);
      try (Socket connection = late.accept()) {
        long timeout = timeoutMillis(FakeServer.MessageReader.read(connection.getInputStream()));
        assertTrue(timeout <= 30_000 - elapsed, "got " + timeout + " after " + elapsed + " ms");
        assertTrue(timeout > 0, "got " + timeout);
        connection.getOutputStream().write(FakeServer.ok("x").getBytes(StandardCharsets.US_ASCII));
        assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
      }
    }
  }

  /**
   * The event loop is blocked until a request's deadline has passed. The connection for it is
   * established meanwhile, and the loop handles that before the timer.
   */
  @Test
  void doesNotWriteAnAttemptWhoseTimeIsOverWhenItsConnectionIsEstablished() throws Exception {
    long waitMillis = 2500;
    AtomicReference<UnresponsiveUpstream> upstream = new AtomicReference<>();
    CompletableFuture<Socket> accepted = new CompletableFuture<>();
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, out) -> {
              if (event instanceof RequestArrived request && request.workHintNanos() > 0) {
                long startNanos = System.nanoTime();
                try {
                  accepted.complete(upstream.get().accept());
                  Thread.sleep(Math.max(0, waitMillis + 100 - millisSince(startNanos)));
                } catch (IOException | InterruptedException e) {
                  accepted.completeExceptionally(e);
                }
                out.accept(new RejectRequest(request.requestId(), 0));
              } else if (event instanceof RequestArrived request) {
                out.accept(
                    new StartAttempt(request.requestId(), DiscoveryMessages.endpointId("s-2"), 0));
              } else if (event instanceof AttemptEnded end && !end.isRequestAnswered()) {
                out.accept(new FailRequest(end.requestId()));
              }
            });
    try (UnresponsiveUpstream late = new UnresponsiveUpstream();
        ProxyFixture proxy = new ProxyFixture(config(UNREACHABLE, late.address()), engine);
        Client client = proxy.client();
        Client other = proxy.client()) {
      upstream.set(late);
      client.write(ProxyFixture.get("t", "X-Expires-In-Ms: " + waitMillis + "\r\n"));
      engine.awaitEvent(RequestArrived.class);
      other.write(ProxyFixture.get("holds", "X-Size-Hint: 7\r\n"));
      try (Socket connection = accepted.get(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        assertEquals(-1, connection.getInputStream().read(), "nothing was written");
      }
      assertTrue(engine.awaitEvent(AttemptEnded.class).status().provesNotRun());
      assertTrue(client.readResponse().startsWith("HTTP/1.1 50"), "too late");
    }
  }

  /**
   * Pipelined requests arrive with the first one. The time for which they wait for their turn
   * counts towards their timeouts.
   */
  @Test
  void countsTheTimeThatPipelinedRequestsWaitForTheirTurn() throws Exception {
    CountDownLatch responseReleased = new CountDownLatch(1);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  while (c.readRequest() != null) {
                    responseReleased.await();
                    c.write(FakeServer.ok("x"));
                  }
                });
        ProxyFixture proxy =
            new ProxyFixture(
                config(upstream.address(), UNREACHABLE), new ScriptedEngine(LONG_TIMEOUT_NANOS));
        Client client = proxy.client()) {
      client.write(
          ProxyFixture.get("first", "")
              + ProxyFixture.get("brief", "X-Expires-In-Ms: 300\r\n")
              + ProxyFixture.get("patient", "X-Expires-In-Ms: 30000\r\n"));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      long startNanos = System.nanoTime(); // All three have arrived: they are one small write.
      Thread.sleep(400); // The test depends on the elapsed time.
      long elapsed = millisSince(startNanos);
      responseReleased.countDown();
      assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
      String expired = client.readResponse();
      assertTrue(expired.startsWith("HTTP/1.1 50") || expired.startsWith("HTTP/1.1 429 "), expired);
      assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
      String forwarded = upstream.requests.take();
      assertTrue(
          forwarded.contains("X-Trace-Id: patient\r\n"),
          "forwarded after its timeout: " + forwarded);
      assertTrue(
          timeoutMillis(forwarded) <= 30_000 - elapsed,
          "got " + timeoutMillis(forwarded) + " after " + elapsed + " ms");
      assertNull(upstream.requests.poll());
    }
  }
}
