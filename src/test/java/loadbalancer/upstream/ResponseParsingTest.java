package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
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

/** Tests the attempt status for upstream responses; {@code ~} stands for a line break. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ResponseParsingTest {

  private final ScriptedEngine engine = new ScriptedEngine(SingleEndpoint.LONG_TIMEOUT_NANOS);

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "HTTP/1.1 200 OK~Content-Length: 2~~ok | SUCCESS",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~0~~ | SUCCESS",
        "HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Content-Length: 2~~ok | SUCCESS",
        "HTTP/1.1 500 Internal Server Error~Content-Length: 0~~ | ERROR",
        "HTTP/1.1 503 Service Unavailable~Content-Length: 0~~ | ERROR",
        "HTTP/1.1 503 Service Unavailable~X-Never-Ran: 1~Content-Length: 0~~ | REJECTED",
        "HTTP/1.1 504 Gateway Timeout~X-Never-Ran: 1~Content-Length: 0~~ | REJECTED",
        "HTTP/1.1 200 OK~Content-Length: 20~~cut short | RESET",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~9~cut | RESET",
        "HTTP/1.1 200 OK~~ok | SUCCESS",
        "HTTP/1.1 200 OK~Connection: close~~ok | SUCCESS",
        "HTTP/1.1 200 OK~no colon here~Content-Length: 2~~ok | RESET",
        "HTTP/1.1 200 OK~Name : 1~Content-Length: 2~~ok | RESET",
        "HTTP/1.1 200 OK~Content-Length: 2~Content-Length: 3~~ok | RESET",
        "HTTP/1.1 200 OK~Content-Length: -2~~ok | RESET",
        "HTTP/1.1 200 OK~Content-Length: 2~Transfer-Encoding: chunked~~2~ok~0~~ | RESET",
        "HTTP/1.1 200 OK~Content-Length: 65537~~ | RESET",
        "garbage~~ | RESET",
        "'' | RESET"
      })
  void mapsResponseToAttemptStatus(String response, AttemptStatus status) throws Exception {
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  connection.write(response.replace("~", "\r\n"));
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      String received = client.exchange(ProxyFixture.get("t", ""));
      AttemptEnded attemptEnded = engine.awaitEvent(AttemptEnded.class);
      assertEquals(status, attemptEnded.status());
      assertEquals(status == AttemptStatus.SUCCESS, attemptEnded.isRequestAnswered());
      boolean isExpectedResponse =
          status == AttemptStatus.SUCCESS
              ? received.startsWith("HTTP/1.1 200 ") && received.endsWith("\r\n\r\nok")
              : received.startsWith("HTTP/1.1 502 ");
      assertTrue(isExpectedResponse, received);
    }
  }

  /**
   * The upstream keeps the connection open, so the client would otherwise wait until its deadline.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "noise without a line's end",
        "HTTP/1.1 200 OK~X-Endless: ",
        "HTTP/1.1 200 OK~Content-Length: 20~~short",
        "HTTP/1.1 200 OK~Content-Length: 3000000000~~and it keeps coming",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~5~short",
        "HTTP/1.1 200 OK~~no length and no end",
        "HTTP/1.1 500 Oh~~no length and no end"
      })
  void resetsAttemptWhenResponseDoesNotComplete(String response) throws Exception {
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  connection.write(response.replace("~", "\r\n"));
                  new CountDownLatch(1).await();
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.RESET, engine.awaitEvent(AttemptEnded.class).status());
      assertTrue(upstream.connections.take().awaitClose(), "closed by the proxy");
    }
  }

  /**
   * The body ends with the connection, and only an end in order shows that it is complete. The
   * proxy has read the part that precedes the reset.
   */
  @Test
  void resetsAttemptWhenAResponseWithoutALengthIsReset() throws Exception {
    CountDownLatch partRead = new CountDownLatch(1);
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  connection.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na part");
                  partRead.await();
                  connection.reset();
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client();
        Client other = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      for (int i = 0; i < 5; i++) {
        other.exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
      }
      partRead.countDown();
      assertTrue(client.readResponse().startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.RESET, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  @Test
  void resetsAttemptWhenInformationalResponsesDoNotEnd() throws Exception {
    String response = "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(100);
    try (FakeServer upstream = FakeServer.respondingWith(response);
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.RESET, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  @Test
  void passesLoadReportToDecisionEngine() throws Exception {
    String response =
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
            + "Endpoint-Load-Metrics: TEXT inflight=7, queue=odd, util=0.61\r\n\r\n";
    try (FakeServer upstream = FakeServer.respondingWith(response);
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t", ""));
      assertEquals(
          Map.of("inflight", 7.0, "util", 0.61),
          engine.awaitEvent(AttemptEnded.class).loadReport());
    }
  }
}
