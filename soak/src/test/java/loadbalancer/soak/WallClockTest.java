package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that slow start lasts the configured time even if the proxy's wall clock is wrong. */
class WallClockTest {

  private static final int ENDPOINTS = 4;
  private static final long SLOW_START_MILLIS = 4000;
  private static final long REQUEST_INTERVAL_MILLIS = 8;

  @TempDir Path folder;

  /**
   * Returns a proxy that is not started yet. Its last endpoint has just started, the others are
   * warm.
   */
  private SingleProxy prepareProxy() throws IOException, InterruptedException {
    long justNow = System.currentTimeMillis() - 500;
    return new SingleProxy(
        folder,
        Deployment.of(1, ENDPOINTS).withSlowStartMillis(SLOW_START_MILLIS),
        0,
        0,
        0,
        justNow);
  }

  /**
   * Returns the requests at the endpoint that has just started, relative to the mean of the others.
   */
  private static double relativeLoad(SingleProxy proxy, long millis)
      throws IOException, InterruptedException {
    long warmingBefore = proxy.attemptsAt(proxy.upstreams.get(ENDPOINTS - 1));
    long allBefore = proxy.attempts.all().size();
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    try (ClientConnection client = proxy.connect()) {
      while (System.nanoTime() < until) {
        SingleProxy.exchange(client, proxy.readRequest(800), 800);
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
      }
    }
    double warming = proxy.attemptsAt(proxy.upstreams.get(ENDPOINTS - 1)) - warmingBefore;
    double warm = proxy.attempts.all().size() - allBefore - warming;
    return warming / (warm / (ENDPOINTS - 1));
  }

  private void assertWarmsUp(Duration offset) throws IOException, InterruptedException {
    try (SingleProxy proxy = prepareProxy()) {
      proxy.process.faults().shiftWallClock(offset);
      proxy.start();
      double first = relativeLoad(proxy, 1000);
      assertTrue(first < 0.6, () -> "relative load of the starting endpoint is too high: " + first);
      Thread.sleep(SLOW_START_MILLIS);
      double warm = relativeLoad(proxy, 1500);
      assertTrue(warm > 0.6, () -> "relative load of the warm endpoint is too low: " + warm);
    }
  }

  @Test
  void limitsAnEndpointThatHasJustStartedWhereTheClockIsAhead()
      throws IOException, InterruptedException {
    assertWarmsUp(Duration.ofHours(1));
  }

  @Test
  void endsSlowStartInItsTimeWhereTheClockIsBehind() throws IOException, InterruptedException {
    assertWarmsUp(Duration.ofHours(-1));
  }

  @Test
  void limitsAnEndpointWhereTheClockIsSomeSecondsAhead() throws IOException, InterruptedException {
    assertWarmsUp(Duration.ofMillis(SLOW_START_MILLIS));
  }

  @Test
  void warmsAnEndpointUpWhereTheClockIsRight() throws IOException, InterruptedException {
    assertWarmsUp(Duration.ZERO);
  }
}
