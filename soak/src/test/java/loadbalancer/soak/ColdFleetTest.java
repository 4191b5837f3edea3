package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a proxy whose endpoints were all started at about the same time. */
class ColdFleetTest {

  private static final int ENDPOINTS = 4;
  private static final long ENDPOINT_AGE_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final long SERVE_MILLIS = 5000;
  private static final long INTERVAL_MILLIS = 30;
  private static final long REQUEST_DEADLINE_MILLIS = 800;

  @TempDir Path folder;

  /**
   * The proxy does not know that the endpoints started long ago, and has seen no traffic from which
   * it could infer that.
   */
  @Test
  void servesBeforeItKnowsThatItsEndpointsAreWarm() throws IOException, InterruptedException {
    long started = System.currentTimeMillis() - ENDPOINT_AGE_MILLIS;
    long[] starts = {started, started + 1, started + 2, started + 3};
    try (SingleProxy proxy = new SingleProxy(folder, Deployment.of(1, ENDPOINTS), starts).start()) {
      int sent = 0;
      int served = 0;
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SERVE_MILLIS);
      try (ClientConnection client = proxy.connect()) {
        for (; System.nanoTime() < until; sent++) {
          String request = proxy.readRequest(REQUEST_DEADLINE_MILLIS);
          served +=
              SingleProxy.exchange(client, request, REQUEST_DEADLINE_MILLIS).status() == 200
                  ? 1
                  : 0;
          Thread.sleep(INTERVAL_MILLIS);
        }
      }
      double servedFraction = served / (double) sent;
      assertTrue(servedFraction > 0.6, "fraction served: " + servedFraction + " of " + sent);
    }
  }
}
