package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Messages that arrive in fragments, wherever they are split, in the forms that HTTP/1.1 allows.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class FragmentedMessageTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);
  private static final String INFORMATIONAL = "HTTP/1.1 100 Continue\r\n\r\n";

  private static BalancerConfig singleEndpointConfig(FakeServer upstream) throws IOException {
    return ProxyFixture.config(
        UNREACHABLE,
        ProxyFixture.endpointListJson(
            1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready")));
  }

  /** Waits until the proxy has read from all its sockets once more, and handled what was read. */
  private static void awaitEventLoopTurns(ProxyFixture proxy) throws IOException {
    for (int i = 0; i < 2; i++) {
      try (Client other = proxy.client()) {
        other.exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
      }
    }
  }

  /**
   * A segment contains the end of an informational response and the start of the final one. The
   * bytes that follow must not be rejected as the start of another response.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 20 | 0 OK~Content-Length: 2~~ok",
        "HTTP/1.1 200 OK~ | Content-Length: 2~~ok",
        "HTTP/1.1 200 OK~Content-Length: 2~~ | ok",
        "HTTP/1.1 200 OK~Content-Length: 2~~o | k",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~ | 0~~"
      })
  void servesAResponseThatStartsInTheSegmentOfAnInformationalOne(String first, String rest)
      throws Exception {
    ScriptedEngine engine = new ScriptedEngine(LONG_TIMEOUT_NANOS);
    CountDownLatch firstPartWritten = new CountDownLatch(1);
    CountDownLatch firstPartRead = new CountDownLatch(1);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  c.readRequest();
                  c.write(INFORMATIONAL + first.replace("~", "\r\n"));
                  firstPartWritten.countDown();
                  firstPartRead.await();
                  c.write(rest.replace("~", "\r\n"));
                  c.awaitClose();
                });
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream), engine);
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      firstPartWritten.await();
      awaitEventLoopTurns(proxy);
      firstPartRead.countDown();
      String response = client.readResponse();
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
      assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\nok"), response);
    }
  }

  /**
   * Nothing follows a segment with an informational response and the start of the final one: the
   * attempt ends at once, instead of letting the client wait until its timeout.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 20",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
      })
  void resetsAnAttemptWhoseResponseStopsAfterThatSegment(String first) throws Exception {
    ScriptedEngine engine = new ScriptedEngine(LONG_TIMEOUT_NANOS);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  c.readRequest();
                  c.write(INFORMATIONAL + first);
                  c.awaitClose();
                });
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.RESET, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  /** An informational response does not start the time limit of the final response. */
  @Test
  void waitsForTheFinalResponseAfterAnInformationalOne() throws Exception {
    ScriptedEngine engine = new ScriptedEngine(LONG_TIMEOUT_NANOS);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  c.readRequest();
                  c.write(INFORMATIONAL);
                  Thread.sleep(500); // Longer than a response may take once it has begun.
                  c.write(FakeServer.ok("ok"));
                  c.awaitClose();
                });
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t", "")).endsWith("\r\n\r\nok"));
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  /** Each byte of the response is written separately. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK~Content-Length: 2~~ok",
        "HTTP/1.1 200 ~content-length:2~~ok",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2;ext=1~ok~000~Trailer: x~~",
        "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Connection: close~Content-Length: 2~~ok"
      })
  void servesAResponseInSingleBytes(String response) throws Exception {
    ScriptedEngine engine = new ScriptedEngine(LONG_TIMEOUT_NANOS);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  c.readRequest();
                  for (char each : response.replace("~", "\r\n").toCharArray()) {
                    c.write(String.valueOf(each));
                  }
                  c.awaitClose();
                });
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream), engine);
        Client client = proxy.client()) {
      String received = client.exchange(ProxyFixture.get("t", ""));
      assertTrue(received.startsWith("HTTP/1.1 200 ") && received.endsWith("\r\n\r\nok"), received);
    }
  }

  /** The client writes each byte separately; its request is forwarded unchanged. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 4~~body",
        "Transfer-Encoding: chunked~~2~bo~2~dy~0~~",
        "Transfer-Encoding: chunked~~4;ext=1~body~0~Trailer: x~~"
      })
  void servesARequestInSingleBytes(String framed) throws Exception {
    String request =
        ("POST /api HTTP/1.1~x-trace-id:t~X-Qos: keyed~Idempotency-Key: k~" + framed)
            .replace("~", "\r\n");
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy =
            new ProxyFixture(
                singleEndpointConfig(upstream), new ScriptedEngine(LONG_TIMEOUT_NANOS));
        Client client = proxy.client()) {
      client.socket.setTcpNoDelay(true);
      for (int i = 0; i < request.length(); i++) {
        client.write(request.substring(i, i + 1));
      }
      assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
      String received = upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(received);
      assertTrue(
          received.endsWith("\r\n\r\nbody") && received.contains("Idempotency-Key: k\r\n"),
          received);
    }
  }
}
