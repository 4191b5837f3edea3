package loadbalancer.soak;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Clients that flood a proxy at full speed, or hold many connections with incomplete requests. None
 * of their requests may be forwarded, and other clients must get their responses all the same.
 */
final class HostileClients {

  /** What the clients send. */
  enum Variant {
    /** Requests of an unknown class, each with a new name, without end. */
    INVALID_REQUESTS("GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %<s\r\n\r\n", 0),
    /** Health checks without end. */
    HEALTH_CHECKS("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 0),
    /** Text that is no request, without end. */
    MALFORMED("nonsense %s\r\n\r\n", 0),
    /** Heads of many short fields, without their end. */
    SHORT_FIELDS("GET /api HTTP/1.1\r\n" + "a:\r\n".repeat(1900), 60),
    /** Halves of long requests. */
    HALF_BODIES(
        "POST /api HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" + "x".repeat(30_000), 60);

    private final String text;
    private final int heldConnections;

    /**
     * Creates a variant.
     *
     * @param text a request, as a format of its name
     * @param heldConnections number of connections that send the text once and stay; 0 for one
     *     connection that sends without end
     */
    Variant(String text, int heldConnections) {
      this.text = text;
      this.heldConnections = heldConnections;
    }
  }

  private static final int REQUESTS_PER_WRITE = 100;

  private final int port;
  private final Variant variant;
  private final long endNanos;
  private int sentRequests;

  /**
   * Creates clients of the proxy on a port.
   *
   * @param millis time after which they leave
   */
  HostileClients(int port, Variant variant, long millis) {
    this.port = port;
    this.variant = variant;
    endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
  }

  /** Runs until the clients' time is over. Connections that the proxy closes are opened again. */
  void run() throws InterruptedException {
    while (System.nanoTime() < endNanos) {
      try {
        if (variant.heldConnections > 0) {
          holdConnections();
        } else {
          flood();
        }
      } catch (IOException e) {
        TimeUnit.MILLISECONDS.sleep(10); // The proxy has closed the connection, or is down.
      }
    }
  }

  private void holdConnections() throws IOException, InterruptedException {
    List<Socket> held = new ArrayList<>();
    try {
      for (int i = 0; i < variant.heldConnections; i++) {
        Socket client = connect();
        held.add(client);
        client.getOutputStream().write(variant.text.getBytes(StandardCharsets.US_ASCII));
      }
      TimeUnit.NANOSECONDS.sleep(Math.max(0, endNanos - System.nanoTime()));
    } finally {
      for (Socket client : held) {
        client.close();
      }
    }
  }

  private void flood() throws IOException {
    try (Socket client = connect()) {
      Thread reader = new Thread(() -> readAll(client), "hostile-reader");
      reader.setDaemon(true);
      reader.start();
      while (System.nanoTime() < endNanos) {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_PER_WRITE; i++) {
          requests.append(String.format(variant.text, "hostile-" + sentRequests++));
        }
        client.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
      }
    }
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), port);
  }

  private static void readAll(Socket client) {
    try {
      client.getInputStream().transferTo(OutputStream.nullOutputStream());
    } catch (IOException e) {
      // The connection has ended.
    }
  }
}
