package loadbalancer.downstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import loadbalancer.config.BalancerConfig;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;

/** Configurations, upstreams and client behavior that the tests of client connections share. */
final class DownstreamFixture {

  static final String UNREACHABLE_ADDRESS = "127.0.0.1:1";
  static final String HEALTH_CHECK_REQUEST = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  private DownstreamFixture() {}

  /** The ways in which a client disconnects. */
  enum DisconnectKind {
    HALF_CLOSE,
    RESET;

    void disconnect(Client client) {
      try {
        if (this == RESET) {
          client.socket.setSoLinger(true, 0);
          client.close();
        } else {
          client.socket.shutdownOutput();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Returns a configuration with ready upstreams named {@code s-1}, {@code s-2} and so on. */
  static BalancerConfig config(FakeServer... upstreams) throws IOException {
    String[] endpoints = new String[upstreams.length];
    for (int i = 0; i < upstreams.length; i++) {
      endpoints[i] = ProxyFixture.endpointJson("s-" + (i + 1), upstreams[i].address(), "ready");
    }
    return ProxyFixture.config(
        UNREACHABLE_ADDRESS, ProxyFixture.endpointListJson(1, true, endpoints));
  }

  /** Returns a server that responds to every request once it is signaled. */
  static FakeServer respondingAfter(CountDownLatch signal) throws IOException {
    return new FakeServer(
        connection -> {
          while (connection.readRequest() != null) {
            signal.await();
            connection.write(FakeServer.ok("x"));
          }
        });
  }

  /**
   * Waits until the proxy has handled everything that clients have sent or closed before. When it
   * responds to the second health check, it has polled all sockets once more and performed the
   * resulting actions.
   */
  static void awaitInputRead(ProxyFixture proxy) throws IOException {
    for (int i = 0; i < 2; i++) {
      try (Client otherClient = proxy.client()) {
        otherClient.exchange(HEALTH_CHECK_REQUEST);
      }
    }
  }
}
