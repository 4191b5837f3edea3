package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests clients that send invalid requests, too much, or nothing: each gets an error, or its
 * connection is closed.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class MisbehavingClientTest {

  /** The time within which a client that stops within a request has to get an error or a close. */
  private static final long MAX_PARTIAL_REQUEST_MILLIS = 3000;

  private static final String TENANTS =
      "\"projects\":[{\"name\":\"acme\",\"portion\":1.0,\"quota-per-s\":100000.0}],";

  /**
   * The client gets an error with a status for its cause, the connection is closed, and further
   * requests on it are ignored.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "POST /api HTTP/1.1~Content-Length: 4~Transfer-Encoding: chunked~~0~~ | 400",
        "POST /api HTTP/1.1~Transfer-Encoding: chunked~Content-Length: 4~~0~~ | 400",
        "POST /api HTTP/1.1~Transfer-Encoding: identity~~ | 400",
        "POST /api HTTP/1.1~Transfer-Encoding: chunked, identity~~0~~ | 400",
        "POST /api HTTP/1.1~Content-Length: 1~Content-Length: 2~~x | 400",
        "POST /api HTTP/1.1~Content-Length: -1~~ | 400",
        "POST /api HTTP/1.1~Content-Length: 99999999999999999999~~ | 400",
        "POST /api HTTP/1.1~Content-Length: 60000000~~ | 413",
        "POST /api HTTP/1.1~Transfer-Encoding: chunked~~zz~~ | 400",
        "nonsense~~ | 400"
      })
  void rejectsMalformedRequestsAndClosesTheConnection(String malformed, int status)
      throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream));
        Client client = proxy.client()) {
      String headers = "X-Trace-Id: bad~X-Qos: keyed~Idempotency-Key: k~";
      String requests =
          malformed.trim().replaceFirst("HTTP/1.1~", "HTTP/1.1~" + headers).replace("~", "\r\n");
      client.write(requests + ProxyFixture.get("hidden", ""));
      String response = client.readResponse();
      assertTrue(
          response.startsWith("HTTP/1.1 " + status + " ")
              && response.contains("connection: close\r\n"),
          response);
      assertNull(client.readResponse());
      try (Client otherClient = proxy.client()) {
        assertTrue(otherClient.exchange(ProxyFixture.get("good", "")).startsWith("HTTP/1.1 200 "));
      }
      assertTrue(upstream.requests.take().contains("X-Trace-Id: good\r\n"));
      assertNull(upstream.requests.poll());
    }
  }

  @Test
  void rejectsOverlongRequestLinesAndHeaders() throws Exception {
    BalancerConfig config =
        ProxyFixture.config(
            DownstreamFixture.UNREACHABLE_ADDRESS, ProxyFixture.endpointListJson(1, true));
    try (ProxyFixture proxy = new ProxyFixture(config);
        Client firstClient = proxy.client();
        Client secondClient = proxy.client()) {
      String overlong = "x".repeat(10_000);
      assertTrue(
          firstClient
              .exchange("GET /api?" + overlong + " HTTP/1.1\r\n\r\n")
              .startsWith("HTTP/1.1 414 "));
      assertNull(firstClient.readResponse());
      assertTrue(
          secondClient
              .exchange(ProxyFixture.get("t", "X-Long: " + overlong + "\r\n"))
              .startsWith("HTTP/1.1 431 "));
      assertNull(secondClient.readResponse());
    }
  }

  /** An error must not overtake the response to an earlier request. */
  @Test
  void sendsErrorsAfterTheResponsesToEarlierRequests() throws Exception {
    CountDownLatch invalidSent = new CountDownLatch(1);
    try (FakeServer upstream = respondingOnce("first", invalidSent);
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream));
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      client.write("POST /api HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 65537\r\n\r\n");
      invalidSent.countDown();
      assertTrue(client.readResponse().endsWith("\r\n\r\nfirst"));
      assertTrue(client.readResponse().startsWith("HTTP/1.1 413 "));
      assertNull(client.readResponse());
    }
  }

  /** A client must not interfere with another client's request, or its effect, by using its id. */
  @Test
  void rejectsATraceIdThatIsInFlight() throws Exception {
    CountDownLatch signal = new CountDownLatch(1);
    try (FakeServer upstream = DownstreamFixture.respondingAfter(signal);
        ProxyFixture proxy = new ProxyFixture(DownstreamFixture.config(upstream));
        Client client = proxy.client();
        Client otherClient = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertTrue(otherClient.exchange(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 409 "));
      signal.countDown();
      assertTrue(client.readResponse().startsWith("HTTP/1.1 200 "));
      assertTrue(
          otherClient.exchange(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 200 "),
          "reusable after the response");
      assertEquals(2, upstream.requests.size() + 1);
    }
  }

  @Test
  void rejectsAnUnknownTenantAndAnOverlongTraceId() throws Exception {
    String configText =
        ProxyFixture.configText(
            DownstreamFixture.UNREACHABLE_ADDRESS,
            ProxyFixture.endpointListJson(1, true),
            "on_request",
            200,
            1024,
            "");
    String configTextWithTenants = configText.replace("\"settings\":{", "\"settings\":{" + TENANTS);
    try (ProxyFixture proxy =
            new ProxyFixture(BalancerConfig.parse(configTextWithTenants, Map.of()));
        Client client = proxy.client()) {
      String unknownTenant = ProxyFixture.get("t", "X-Customer: nobody\r\n");
      assertTrue(client.exchange(unknownTenant).startsWith("HTTP/1.1 400 "));
      String overlongTraceId = ProxyFixture.get("t".repeat(1000), "X-Customer: acme\r\n");
      assertTrue(client.exchange(overlongTraceId).startsWith("HTTP/1.1 400 "));
    }
  }

  /**
   * Clients that connect and send nothing, or only part of a request, must not hold descriptors.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'' | ''",
        "GET /api HT | HTTP/1.1 408 ",
        "POST /api HTTP/1.1~X-Trace-Id: t~Content-Length: 5~~half | HTTP/1.1 408 "
      })
  void closesConnectionsWithoutACompleteRequest(String partialRequest, String expected)
      throws Exception {
    BalancerConfig config =
        ProxyFixture.config(
            DownstreamFixture.UNREACHABLE_ADDRESS, ProxyFixture.endpointListJson(1, true));
    try (ProxyFixture proxy = new ProxyFixture(config);
        Client client = proxy.client()) {
      client.write(partialRequest.replace("~", "\r\n"));
      String response = client.readResponse();
      assertTrue(expected.isEmpty() ? response == null : response.startsWith(expected), response);
      assertTrue(
          response == null || client.readResponse() == null,
          "the connection is closed after the response");
    }
  }

  /** A connection with a request in flight is never shed. */
  @Test
  void shedsClientsThatNeverSentARequestFirst() throws Exception {
    CountDownLatch signal = new CountDownLatch(1);
    List<Client> silentClients = new ArrayList<>();
    try (FakeServer upstream = respondingOnce("x", signal);
        ProxyFixture proxy = new ProxyFixture(configWithSockets(upstream, 72));
        Client servedClient = proxy.client();
        Client idleClient = proxy.client()) {
      assertTrue(
          idleClient.exchange(DownstreamFixture.HEALTH_CHECK_REQUEST).startsWith("HTTP/1.1 200 "));
      servedClient.write(ProxyFixture.get("t", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      for (int i = 0; i < 60; i++) {
        silentClients.add(proxy.client());
      }
      assertNull(silentClients.get(0).readResponse(), "the connection is closed");
      assertTrue(
          idleClient.exchange(DownstreamFixture.HEALTH_CHECK_REQUEST).startsWith("HTTP/1.1 200 "),
          "one that has sent a request stays connected");
      signal.countDown();
      assertTrue(servedClient.readResponse().startsWith("HTTP/1.1 200 "));
    } finally {
      for (Client client : silentClients) {
        client.close();
      }
    }
  }

  /** Returns a configuration with memory for one long body. */
  private static BalancerConfig configWithSmallBudget() throws IOException {
    String configText =
        ProxyFixture.configText(
            DownstreamFixture.UNREACHABLE_ADDRESS,
            ProxyFixture.endpointListJson(1, true),
            "on_request",
            200,
            1024,
            "");
    return BalancerConfig.parse(
        configText.replace("\"memory_mb\":192", "\"memory_mb\":1"), Map.of());
  }

  /**
   * Sends the first part of a long request on each of two connections. There is no memory for the
   * second one.
   */
  private static void writeParts(
      ProxyFixture proxy, Client firstClient, Client secondClient, String part) throws IOException {
    firstClient.write(part);
    DownstreamFixture.awaitInputRead(proxy);
    secondClient.write(part);
    DownstreamFixture.awaitInputRead(proxy);
  }

  private static String longRequest() {
    return ProxyFixture.post("t", "Idempotency-Key: k\r\n", "x".repeat(60_000));
  }

  /** The client gets an error for the request, and the requests behind it get their responses. */
  @Test
  void rejectsABodyOverTheMemoryBudgetAndReadsOn() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(configWithSmallBudget());
        Client firstClient = proxy.client();
        Client secondClient = proxy.client()) {
      String request = longRequest();
      writeParts(proxy, firstClient, secondClient, request.substring(0, 40_000));
      secondClient.write(request.substring(40_000) + DownstreamFixture.HEALTH_CHECK_REQUEST);
      String rejection = secondClient.readResponse();
      assertTrue(rejection.startsWith("HTTP/1.1 503 "), rejection);
      assertTrue(rejection.contains("no memory is left for the body"), rejection);
      String health = secondClient.readResponse();
      assertTrue(health.endsWith("not serving\n"), health);
    }
  }

  /** The client gets an error before its connection is closed, in the time of partial requests. */
  @Test
  void rejectsAPartialBodyOverTheMemoryBudgetInTime() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(configWithSmallBudget());
        Client firstClient = proxy.client();
        Client secondClient = proxy.client()) {
      long startNanos = System.nanoTime();
      writeParts(proxy, firstClient, secondClient, longRequest().substring(0, 40_000));
      assertTrue(secondClient.readResponse().startsWith("HTTP/1.1 408 "));
      assertNull(secondClient.readResponse());
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      assertTrue(millis < MAX_PARTIAL_REQUEST_MILLIS, "ended after " + millis + " ms");
    }
  }

  /**
   * Returns a server that responds with this body to the first request of each connection once it
   * is signaled, and then waits until the connection is closed.
   */
  private static FakeServer respondingOnce(String body, CountDownLatch signal) throws IOException {
    return new FakeServer(
        connection -> {
          connection.readRequest();
          signal.await();
          connection.write(FakeServer.ok(body));
          connection.awaitClose();
        });
  }

  private static BalancerConfig configWithSockets(FakeServer upstream, int sockets)
      throws IOException {
    String member = ProxyFixture.endpointJson("s-1", upstream.address(), "ready");
    return ProxyFixture.config(
        DownstreamFixture.UNREACHABLE_ADDRESS,
        ProxyFixture.endpointListJson(1, true, member),
        "on_request",
        200,
        sockets,
        "");
  }
}
