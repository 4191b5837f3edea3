package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.http.HttpProtocol;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The behavior that clients and upstreams see over real connections. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ProxyTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final String HEALTH_REQUEST = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  private static BalancerConfig singleEndpointConfig(FakeServer upstream) throws IOException {
    String member = ProxyFixture.endpointJson("s-1", upstream.address(), "ready");
    return ProxyFixture.config(UNREACHABLE, ProxyFixture.endpointListJson(1, true, member));
  }

  @Test
  void forwardsRequestsUnchangedOverReusedConnections() throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("an answer"));
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream));
        Client client = proxy.client()) {
      String response =
          client.exchange(
              ProxyFixture.get(
                  "t1", "X-Expires-In-Ms: 30000\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"));
      assertTrue(
          response.startsWith("HTTP/1.1 200 OK\r\n") && response.endsWith("\r\n\r\nan answer"),
          response);
      String received = upstream.requests.take();
      assertTrue(received.startsWith("GET /api?q=1 HTTP/1.1\r\n"), received);
      assertTrue(received.contains("X-Trace-Id: t1\r\n") && !received.contains("X-Hop"), received);
      assertTrue(
          received.matches("(?s).*X-Expires-In-Ms: 29\\d{3}\r\n.*"),
          "says how long the proxy waits: " + received);
      response =
          client.exchange(
              ProxyFixture.post(
                  "t2", "Idempotency-Key: k2\r\nX-Expires-In-Ms: 30000\r\n", "a body"));
      assertTrue(response.startsWith("HTTP/1.1 200 OK\r\n"), response);
      received = upstream.requests.take();
      assertTrue(
          received.startsWith("POST /api HTTP/1.1\r\n")
              && received.contains("Idempotency-Key: k2\r\n")
              && received.endsWith("\r\n\r\na body"),
          received);
      // Connections become reusable after a quiet period, so requests are sent until one of them
      // needs no new connection.
      for (int before = -1; before != upstream.connections.size(); ) {
        before = upstream.connections.size();
        client.exchange(ProxyFixture.get("again" + before, ""));
      }
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "GET /api HTTP/1.1~X-Qos: safe~~ | 400",
        "GET /api HTTP/1.1~X-Trace-Id: t~~ | 400",
        "GET /api HTTP/1.1~X-Trace-Id: t~X-Qos: odd~~ | 400",
        "GET /api HTTP/1.1~X-Trace-Id: t~X-Qos: safe~X-Expires-In-Ms: -5~~ | 400",
        "POST /api HTTP/1.1~X-Trace-Id: t~X-Qos: keyed~Content-Length: 0~~ | 400",
        "GET /api HTTP/1.1~no colon here~~ | 400",
        "nonsense~~ | 400",
        "GET /other HTTP/1.1~X-Trace-Id: t~X-Qos: safe~~ | 404",
        "PUT /api HTTP/1.1~X-Trace-Id: t~X-Qos: safe~Content-Length: 0~~ | 405",
        "POST /api HTTP/1.1~X-Trace-Id: t~X-Qos: keyed~Idempotency-Key: k~Content-Length: 65537~~"
            + " | 413"
      })
  void respondsToInvalidRequestsAndForwardsNone(String request, int status) throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream))) {
      try (Client client = proxy.client()) {
        String response = client.exchange(request.trim().replace("~", "\r\n"));
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), response);
      }
      try (Client client = proxy.client()) {
        String response = client.exchange(ProxyFixture.get("good", ""));
        assertTrue(response.startsWith("HTTP/1.1 200 "), "still serves");
      }
      assertTrue(upstream.requests.take().contains("X-Trace-Id: good\r\n"));
      assertNull(upstream.requests.poll());
    }
  }

  @Test
  void passesBodiesOfTheLargestSize() throws Exception {
    String body = "b".repeat(HttpProtocol.MAX_BODY_BYTES);
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok(body));
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream));
        Client client = proxy.client()) {
      String response = client.exchange(ProxyFixture.post("t", "Idempotency-Key: k\r\n", body));
      assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("\r\n\r\n" + body));
      assertTrue(upstream.requests.take().endsWith("\r\n\r\n" + body));
    }
  }

  @Test
  void healthCheckReportsWhetherAnEndpointIsReady() throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("x"));
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream));
        Client client = proxy.client()) {
      assertTrue(client.exchange(HEALTH_REQUEST).startsWith("HTTP/1.1 200 "));
    }
    BalancerConfig noEndpoints =
        ProxyFixture.config(UNREACHABLE, ProxyFixture.endpointListJson(1, true));
    try (ProxyFixture proxy = new ProxyFixture(noEndpoints);
        Client client = proxy.client()) {
      assertTrue(
          client.exchange(HEALTH_REQUEST).startsWith("HTTP/1.1 503 "), "no endpoint is known");
    }
  }

  @Test
  void rejectsAtOnceWithRetryAfterInSeconds() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actions) -> {
              if (event instanceof RequestArrived request) {
                actions.accept(new RejectRequest(request.requestId(), 250_000_001));
              }
            });
    BalancerConfig config =
        ProxyFixture.config(UNREACHABLE, ProxyFixture.endpointListJson(1, true));
    try (ProxyFixture proxy = new ProxyFixture(config, engine);
        Client client = proxy.client()) {
      String response = client.exchange(ProxyFixture.get("t", ""));
      assertTrue(
          response.startsWith("HTTP/1.1 429 ") && response.contains("retry-after: 0.251\r\n"),
          response);
    }
  }

  @Test
  void respondsToPipelinedRequestsInTurn() throws Exception {
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  for (String request = connection.readRequest();
                      request != null;
                      request = connection.readRequest()) {
                    boolean isFirst = request.contains("X-Trace-Id: first");
                    connection.write(FakeServer.ok(isFirst ? "1" : "2"));
                  }
                });
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream));
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("first", "") + ProxyFixture.get("second", ""));
      assertTrue(client.readResponse().endsWith("\r\n\r\n1"));
      assertTrue(client.readResponse().endsWith("\r\n\r\n2"));
    }
  }
}
