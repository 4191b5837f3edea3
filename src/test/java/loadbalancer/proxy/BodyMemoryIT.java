package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.PackagedProxy;
import loadbalancer.testing.ProxyFixture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Long messages that arrive in pieces, in the least memory, where all bodies together fit into the
 * memory for buffers but the buffers into which the pieces are read would not.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class BodyMemoryIT {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final String HEALTH_CHECK = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final int HEALTH_CHECKS = 10;

  /** A response that is half a second late or more is lost. */
  private static final int MAX_HEALTH_CHECK_MILLIS = 500;

  private static final int DESCRIPTORS = 1024;
  private static final int CLIENTS = 30;
  private static final int BODY_BYTES = 60_000;
  private static final int PIECE_BYTES = 5_000;
  private static final int PIECE_INTERVAL_MILLIS = 5;

  /** Time in which the requests of all clients reach the upstream, so that responses overlap. */
  private static final int RESPONSE_DELAY_MILLIS = 200;

  @TempDir Path folder;
  private final List<Socket> clients = new ArrayList<>();

  @AfterEach
  void closeClients() throws IOException {
    for (Socket client : clients) {
      client.close();
    }
  }

  private PackagedProxy start(FakeServer upstream) throws IOException, InterruptedException {
    return start(upstream, Path.of("deploy/run.sh"));
  }

  private PackagedProxy start(FakeServer upstream, Path runScript)
      throws IOException, InterruptedException {
    String members =
        ProxyFixture.endpointListJson(
            1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready"));
    String config =
        ProxyFixture.configText(UNREACHABLE, members, "on_request", 1000, DESCRIPTORS, "")
            .replace("\"memory_mb\":192", "\"memory_mb\":32");
    PackagedProxy proxy =
        new PackagedProxy(folder, config, "ulimit -n " + DESCRIPTORS + "; . " + runScript);
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(proxy.connect());
    }
    return proxy;
  }

  private static String longRequest(int client) {
    String key = "Idempotency-Key: k" + client + "\r\n";
    return ProxyFixture.post("t" + (CLIENTS + client), key, "x".repeat(BODY_BYTES));
  }

  private static void write(Socket client, String text, int from, int bytes) throws IOException {
    byte[] all = text.getBytes(StandardCharsets.ISO_8859_1);
    client.getOutputStream().write(all, from, Math.min(bytes, all.length - from));
  }

  private void assertAllServed(PackagedProxy proxy) throws IOException {
    for (Socket client : clients) {
      String response = FakeServer.MessageReader.read(client.getInputStream());
      assertTrue(response != null && response.startsWith("HTTP/1.1 200 "), "got " + response);
    }
    assertFalse(proxy.log().contains("OutOfMemory"), proxy.log());
    assertTrue(proxy.process().isAlive(), proxy.log());
  }

  /** Guards against slow writers of long requests that use up the memory and stop the proxy. */
  @Test
  void servesLongRequestsThatAreWrittenInPieces() throws Exception {
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("done"));
        PackagedProxy proxy = start(upstream);
        Socket other = proxy.connect()) {
      for (int from = 0; from < longRequest(0).length(); from += PIECE_BYTES) {
        for (int i = 0; i < CLIENTS; i++) {
          write(clients.get(i), longRequest(i), from, PIECE_BYTES);
        }
        // The proxy has read the pieces before it responds.
        PackagedProxy.exchange(other, HEALTH_CHECK);
      }
      assertAllServed(proxy);
    }
  }

  /**
   * Guards against an event loop that stops for half a second whenever direct memory is used up. A
   * start with a fraction of the memory uses it up, whatever the proxy does to avoid that.
   */
  @Test
  void staysResponsiveWhenNoMemoryIsLeft() throws Exception {
    Path runScript = folder.resolve("run-with-little-memory.sh");
    String script = Files.readString(Path.of("deploy/run.sh"));
    Files.writeString(runScript, script.replaceAll("(?m)^direct_mb=.*$", "direct_mb=1"));
    try (FakeServer upstream = FakeServer.respondingWith(FakeServer.ok("done"));
        PackagedProxy proxy = start(upstream, runScript)) {
      for (int i = 0; i < CLIENTS; i++) {
        write(clients.get(i), longRequest(i), 0, BODY_BYTES);
      }
      for (int i = 0; i < HEALTH_CHECKS; i++) {
        long startNanos = System.nanoTime();
        awaitResponseOrClose(proxy);
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(millis < MAX_HEALTH_CHECK_MILLIS, "answered or closed after " + millis + " ms");
      }
      proxy.awaitLog("OutOfDirectMemoryError");
      assertTrue(proxy.process().isAlive(), proxy.log());
    }
  }

  private static void awaitResponseOrClose(PackagedProxy proxy) {
    try {
      proxy.exchange(HEALTH_CHECK);
    } catch (IOException e) {
      // Closed, as there was no memory for the request.
    }
  }

  /** Guards against long responses in pieces that use up the memory and stop the proxy. */
  @Test
  void servesLongResponsesThatArriveInPieces() throws Exception {
    String response = FakeServer.ok("x".repeat(BODY_BYTES));
    FakeServer.Script writeInPieces =
        connection -> {
          while (connection.readRequest() != null) {
            Thread.sleep(RESPONSE_DELAY_MILLIS);
            for (int from = 0; from < response.length(); from += PIECE_BYTES) {
              int to = Math.min(response.length(), from + PIECE_BYTES);
              connection.write(response.substring(from, to));
              Thread.sleep(PIECE_INTERVAL_MILLIS);
            }
          }
        };
    try (FakeServer upstream = new FakeServer(writeInPieces);
        PackagedProxy proxy = start(upstream)) {
      for (int i = 0; i < CLIENTS; i++) {
        String request = ProxyFixture.get("t" + i, "");
        write(clients.get(i), request, 0, request.length());
      }
      assertAllServed(proxy);
    }
  }
}
