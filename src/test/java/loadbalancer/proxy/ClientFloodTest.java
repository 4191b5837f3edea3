package loadbalancer.proxy;

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
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send much at once: they get what they are owed, and nobody else is affected. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ClientFloodTest {

  private static final String NOWHERE = "127.0.0.1:1";
  private static final long LONG = TimeUnit.SECONDS.toNanos(30);
  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final String END = "Connection: close\r\n";
  private static final int MANY = 10_000;

  private static BalancerConfig one(FakeServer upstream, String memoryMb) throws IOException {
    return BalancerConfig.parse(
        ProxyFixture.configText(
                NOWHERE,
                ProxyFixture.endpointListJson(
                    1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready")),
                "on_request",
                200,
                1024,
                "")
            .replace("\"memory_mb\":192", "\"memory_mb\":" + memoryMb),
        Map.of());
  }

  /** Writes it beside the test: nobody may be reading it any more. */
  private static Thread writing(Client client, String text) {
    Thread thread =
        new Thread(
            () -> {
              try {
                client.write(text);
              } catch (IOException e) {
                // Cut off.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static List<String> answers(Client client) {
    List<String> answers = new ArrayList<>();
    try {
      for (String answer = client.readResponse(); answer != null; answer = client.readResponse()) {
        answers.add(answer);
      }
    } catch (IOException e) {
      // Cut off while it went on sending: what came before counts.
    }
    return answers;
  }

  private static String many(String form) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < MANY; i++) {
      text.append(form.replace("ID", "t" + i));
    }
    return text.toString();
  }

  /**
   * Ten thousand requests at once, of several kinds: they are answered or cut off, while another
   * client is served.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /api HTTP/1.1~X-Trace-Id: ID~X-Qos: safe~~",
        "GET /healthz HTTP/1.1~~",
        "nonsense~~",
        "GET /api HTTP/1.1~~",
        "~~"
      })
  void servesOtherClientsDuringAFlood(String form) throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  for (String request = c.readRequest();
                      request != null;
                      request = c.readRequest()) {
                    if (!request.contains("X-Trace-Id: good")) {
                      done.await();
                    }
                    c.write(FakeServer.ok("x"));
                  }
                });
        ProxyFixture proxy = new ProxyFixture(one(upstream, "192"), new ScriptedEngine(LONG));
        Client flooding = proxy.client();
        Client good = proxy.client()) {
      writing(
          flooding,
          many(form.replace("~", "\r\n")) + HEALTH.replace("\r\n\r\n", "\r\n" + END + "\r\n"));
      for (int i = 0; i < 20; i++) {
        assertTrue(good.exchange(ProxyFixture.get("good" + i, "")).startsWith("HTTP/1.1 200 "));
      }
      done.countDown();
      for (String answer : answers(flooding)) {
        assertTrue(answer.startsWith("HTTP/1.1 200 ") || answer.startsWith("HTTP/1.1 4"), answer);
      }
      assertTrue(good.exchange(ProxyFixture.get("good", "")).startsWith("HTTP/1.1 200 "));
    }
  }

  /**
   * They disconnect without reading a response, some with a reset: no request and no connection of
   * theirs stays.
   */
  @Test
  void releasesEverythingOfClientsThatFloodAndDisconnect() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  for (String request = c.readRequest();
                      request != null;
                      request = c.readRequest()) {
                    if (!request.contains("X-Trace-Id: good")) {
                      done.await();
                    }
                    c.write(FakeServer.ok("x"));
                  }
                });
        ProxyFixture proxy = new ProxyFixture(one(upstream, "192"), new ScriptedEngine(LONG));
        Client good = proxy.client()) {
      for (int i = 0; i < 40; i++) {
        try (Client going = proxy.client()) {
          StringBuilder much = new StringBuilder();
          for (int j = 0; j < 200; j++) {
            much.append(ProxyFixture.get("t" + i + "-" + j, ""));
          }
          going.write(much.toString());
          if (i % 2 == 0) {
            going.socket.setSoLinger(true, 0);
          }
        }
      }
      done.countDown();
      while (proxy.server.listener().connectionCount() > 1) {
        assertTrue(good.exchange(HEALTH).startsWith("HTTP/1.1 200 "));
      }
      assertTrue(good.exchange(ProxyFixture.get("good", "")).startsWith("HTTP/1.1 200 "));
    }
  }

  /**
   * Requests that wait for their turn are in memory whole: without a bound many such clients end
   * the process.
   */
  @Test
  void countsTheHeadsOfPipelinedRequestsAgainstTheMemory() throws Exception {
    CountDownLatch done = new CountDownLatch(1);
    int sent = 20;
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  while (c.readRequest() != null) {
                    done.await();
                    c.write(FakeServer.ok("x"));
                  }
                });
        ProxyFixture proxy = new ProxyFixture(one(upstream, "1"), new ScriptedEngine(LONG));
        Client client = proxy.client();
        Client other = proxy.client()) {
      client.write(ProxyFixture.get("first", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      StringBuilder much = new StringBuilder();
      for (int i = 0; i < sent; i++) {
        much.append(
            ProxyFixture.get(
                "t" + i, "X-Long: " + "x".repeat(7000) + "\r\n" + (i < sent - 1 ? "" : END)));
      }
      client.write(much.toString()); // It is read, whether or not it is held.
      for (int i = 0; i < 20; i++) {
        other.exchange(
            HEALTH); // Each answer takes a look at all sockets: all that was sent has been read.
      }
      done.countDown();
      List<String> answers = answers(client);
      long served = answers.stream().filter(a -> a.startsWith("HTTP/1.1 200 ")).count();
      assertTrue(served < sent, "of 140 KB in heads, with room for 64, all were held: " + served);
      assertTrue(answers.get(0).startsWith("HTTP/1.1 200 "));
      assertTrue(
          other.exchange(ProxyFixture.get("good", "")).startsWith("HTTP/1.1 200 "),
          "and there is room again");
    }
  }

  /**
   * A complete request and a part of another arrive together, and then nothing more: the partial
   * one gets its error.
   */
  @Test
  void timesOutAPartialRequestBehindACompleteOne() throws Exception {
    try (ProxyFixture proxy =
            new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.endpointListJson(1, true)));
        Client client = proxy.client()) {
      long from = System.nanoTime();
      client.write(HEALTH + "GET /api HT");
      assertTrue(client.readResponse().startsWith("HTTP/1.1 503 "));
      String answer = client.readResponse();
      assertNotNull(answer, "closed without a word");
      assertTrue(answer.startsWith("HTTP/1.1 408 "), answer);
      assertNull(client.readResponse());
      assertEquals(
          0,
          TimeUnit.NANOSECONDS.toSeconds(System.nanoTime() - from) / 10,
          "in seconds, not in a minute");
    }
  }
}
