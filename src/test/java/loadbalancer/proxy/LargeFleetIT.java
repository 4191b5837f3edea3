package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.PackagedProxy;
import loadbalancer.testing.ProxyFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** The packaged program in a large fleet, at its limits of memory and descriptors. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class LargeFleetIT {

  /** The number of endpoints and of instances, and the limit of file descriptors. */
  private static final int FLEET_SIZE = 1024;

  @TempDir Path folder;

  private static String exchangeOnNewConnection(PackagedProxy proxy, String id) throws IOException {
    return proxy.exchange(ProxyFixture.get(id, "Cookie: sid=" + id + "\r\n"));
  }

  /** Returns a list of many endpoints, of which only one is ready. */
  private static String list(int revision, int ready, String address) {
    return ProxyFixture.endpointListJson(
        revision,
        true,
        IntStream.range(0, FLEET_SIZE)
            .mapToObj(
                i ->
                    ProxyFixture.endpointJson(
                        "upstream-with-a-long-name-" + i,
                        i == ready ? address : "127.0.0.1:1",
                        i == ready ? "ready" : "draining"))
            .toArray(String[]::new));
  }

  private static String indented(String list) {
    return list.replace("{", "{\n        ")
        .replace(",\"", ",\n            \"")
        .replace("}", "\n        }");
  }

  /** Returns the setting with the addresses of all instances. */
  private static String peers() {
    return IntStream.range(0, FLEET_SIZE)
        .mapToObj(i -> "\"127.0." + i / 250 + "." + (i % 250 + 1) + ":7946\"")
        .collect(Collectors.joining(",", "\"peers\":[", "],"));
  }

  /** Discovery's lists are indented, so that each spans many lines. */
  @Test
  void servesAThousandEndpointsAndInstancesInTheLeastMemory() throws Exception {
    CountDownLatch listChanged = new CountDownLatch(1);
    try (FakeServer first = FakeServer.respondingWith(FakeServer.ok("first"));
        FakeServer last = FakeServer.respondingWith(FakeServer.ok("last"));
        FakeServer discovery =
            new FakeServer(
                c -> {
                  c.readRequest();
                  c.write(
                      DiscoveryMessages.watchResponse(
                          indented(list(42, FLEET_SIZE - 1, last.address()))));
                  listChanged.await();
                  c.write(DiscoveryMessages.chunk(indented(list(43, 0, first.address()))));
                  c.awaitClose();
                })) {
      String config =
          ProxyFixture.configText(
                  discovery.address(),
                  list(41, FLEET_SIZE / 2, "127.0.0.1:1"),
                  "pushed",
                  200,
                  FLEET_SIZE,
                  peers())
              .replace("\"memory_mb\":192", "\"memory_mb\":32")
              .replace("\"me\":0", "\"me\":" + (FLEET_SIZE - 1) + ",\"group-size\":" + FLEET_SIZE);
      try (PackagedProxy proxy = new PackagedProxy(folder, config, FLEET_SIZE)) {
        assertTrue(proxy.log().contains(" endpoints=" + FLEET_SIZE + " "), proxy.log());
        assertTrue(
            exchangeOnNewConnection(proxy, "t1").endsWith("\r\n\r\nlast"),
            "the last entry of the list");
        listChanged.countDown();
        for (int i = 0; !exchangeOnNewConnection(proxy, "u" + i).endsWith("\r\n\r\nfirst"); i++) {
          Thread.sleep(10);
        }
        assertEquals(1, discovery.connections.size(), "the watch is still open: " + proxy.log());
        assertFalse(proxy.log().contains("OutOfMemory"), proxy.log());
        assertTrue(proxy.process().isAlive(), proxy.log());
      }
    }
  }

  /** Returns an upstream that responds once the latch has reached zero. */
  private static FakeServer upstreamRespondingAfter(CountDownLatch responseReleased)
      throws IOException {
    return new FakeServer(
        connection -> {
          while (connection.readRequest() != null) {
            responseReleased.await();
            connection.write(FakeServer.ok("slow"));
          }
        });
  }

  /**
   * Returns a discovery server that resets every connection until it is up, and then lists one
   * endpoint.
   */
  private static FakeServer discovery(AtomicBoolean isUp, FakeServer listedUpstream)
      throws IOException {
    return new FakeServer(
        connection -> {
          if (!isUp.get()) {
            connection.reset();
          }
          connection.readRequest();
          String member = ProxyFixture.endpointJson("s-listed", listedUpstream.address(), "ready");
          connection.write(
              DiscoveryMessages.watchResponse(ProxyFixture.endpointListJson(42, true, member)));
          connection.awaitClose();
        });
  }

  /**
   * Sends requests to both known endpoints until one of the requests waits at the slow endpoint.
   */
  private static List<Socket> openRequests(PackagedProxy proxy, FakeServer slow)
      throws IOException, InterruptedException {
    List<Socket> open = new ArrayList<>();
    while (slow.requests.isEmpty()) {
      Socket client = proxy.connect();
      String request =
          ProxyFixture.get("open" + open.size(), "Cookie: sid=o" + open.size() + "\r\n");
      client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      open.add(client);
      Thread.sleep(20);
    }
    return open;
  }

  /**
   * Opens more connections than the proxy has descriptors, and gets a response on each. They stay
   * open on this side, so the proxy has to close some.
   */
  private static void connectIdle(PackagedProxy proxy, List<Socket> idleClients)
      throws IOException {
    for (int i = 0; i < 500; i++) {
      Socket client = proxy.connect();
      idleClients.add(client);
      String response = PackagedProxy.exchange(client, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
      assertNotNull(response, "a new client gets its response");
    }
  }

  private static void assertResponses(List<Socket> open) throws IOException {
    for (Socket client : open) {
      String response = FakeServer.MessageReader.read(client.getInputStream());
      assertTrue(
          response.endsWith("slow")
              || response.endsWith("known")
              || response.startsWith("HTTP/1.1 429 "),
          response);
      client.close();
    }
  }

  private static void assertLowCpuUse(Process process) throws InterruptedException {
    Duration before = process.info().totalCpuDuration().orElseThrow();
    Thread.sleep(2000); // The CPU time is measured over this period.
    long usedMillis = process.info().totalCpuDuration().orElseThrow().minus(before).toMillis();
    assertTrue(usedMillis < 700, "used while idle: " + usedMillis + " ms of CPU time in 2 s");
  }

  /**
   * Idle clients use up the descriptors while discovery is down. Requests in flight and new ones
   * get final responses, discovery is reached again when it is back, and there is no busy loop.
   */
  @Test
  void servesAndFindsDiscoveryWhenIdleClientsFillTheDescriptors() throws Exception {
    AtomicBoolean isUp = new AtomicBoolean();
    CountDownLatch responseReleased = new CountDownLatch(1);
    List<Socket> idleClients = new ArrayList<>();
    try (FakeServer slow = upstreamRespondingAfter(responseReleased);
        FakeServer known = FakeServer.respondingWith(FakeServer.ok("known"));
        FakeServer listedUpstream = FakeServer.respondingWith(FakeServer.ok("listed"));
        FakeServer discovery = discovery(isUp, listedUpstream)) {
      String members =
          ProxyFixture.endpointListJson(
              41,
              true,
              ProxyFixture.endpointJson("s-slow", slow.address(), "ready"),
              ProxyFixture.endpointJson("s-known", known.address(), "ready"));
      String config = ProxyFixture.configText(discovery.address(), members, "pushed", 200, 256, "");
      try (PackagedProxy proxy = new PackagedProxy(folder, config, 256)) {
        List<Socket> open = openRequests(proxy, slow);
        connectIdle(proxy, idleClients);
        assertTrue(
            exchangeOnNewConnection(proxy, "while-down").startsWith("HTTP/1.1 "),
            "a new request gets a final response");
        assertLowCpuUse(proxy.process());
        isUp.set(true);
        proxy.awaitLog("discovery_recovered");
        while (listedUpstream.requests.isEmpty()) {
          exchangeOnNewConnection(proxy, "when-back" + System.nanoTime());
          Thread.sleep(10);
        }
        responseReleased.countDown();
        assertResponses(open);
        assertTrue(proxy.process().isAlive(), proxy.log());
        assertFalse(proxy.log().contains("Too many open files"), proxy.log());
      }
    } finally {
      for (Socket client : idleClients) {
        client.close();
      }
    }
  }
}
