package loadbalancer.soak;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A client that sends part of a request and keeps the connection open. The proxy must respond with
 * an error or close the connection within 3 s.
 */
final class IncompleteRequestClient {

  /** Limit of 3 s plus a tolerance. */
  private static final long MAX_RESPONSE_MILLIS = 3200;

  private IncompleteRequestClient() {}

  /**
   * Sends part of a request to the proxy, if it accepts connections. Returns a violation if the
   * proxy neither responds nor closes the connection in time.
   */
  static Optional<Violation> check(
      ProxyNode proxy, Deployment deployment, UniformRandomProvider random) throws IOException {
    if (!proxy.isConnectable()) {
      return Optional.empty();
    }
    String text = new RequestRecord("bad", deployment.kinds().get(0), 0, 0, 1000).toHttp();
    try (ClientConnection connection = new ClientConnection(proxy.process().port())) {
      connection.write(text.substring(0, 1 + random.nextInt(text.length() - 2)));
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_RESPONSE_MILLIS);
      if (connection.read(until).end() != ClientConnection.End.TIMEOUT) {
        return Optional.empty();
      }
    }
    String detail =
        "n" + proxy.index() + " neither responded nor closed within " + MAX_RESPONSE_MILLIS + " ms";
    return Optional.of(new Violation(Violation.Rule.BAD_CLIENT, System.nanoTime(), null, detail));
  }
}
