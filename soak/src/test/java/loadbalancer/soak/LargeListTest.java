package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Compares the resources that a proxy uses with 200 endpoints and with sixteen times as many. In
 * both cases 60 percent of them are replaced while the proxy serves the same traffic.
 */
class LargeListTest {

  private static final int INSTANCES = 100;
  private static final int USUAL_ENDPOINTS = 200;
  private static final int LARGE_ENDPOINTS = 3200;
  private static final double FLEET_CAPACITY = 6000;

  /** Number of upstreams that listen. All endpoints share their addresses. */
  private static final int LISTENERS = 8;

  private static final int REPLACEMENT_MILLIS = 7000;
  private static final int SERVE_MILLIS = 4000;
  private static final int REQUEST_INTERVAL_MILLIS = 25;
  private static final int AFFINITY_KEYS = 300;

  @TempDir Path folder;

  /** The resources that a proxy used, and the fraction of requests that it served. */
  private record Measurement(ProcessUsage usage, int connections, double served) {}

  private Measurement measure(int endpoints) throws IOException, InterruptedException {
    Deployment deployment =
        Deployment.of(INSTANCES, endpoints)
            .withEndpoints(endpoints, FLEET_CAPACITY / endpoints)
            .withSlowStartMillis(2000);
    try (SingleProxy proxy =
        new SingleProxy(folder.resolve("of" + endpoints), deployment, new long[LISTENERS])) {
      for (int i = LISTENERS; i < endpoints; i++) {
        addChange(proxy, "e" + i, i, EndpointEntry.Phase.READY, 0);
      }
      proxy.agent.advanceTo(proxy.catalogue.revision());
      proxy.start();
      double served = serve(proxy, endpoints);
      int connections = proxy.upstreams.stream().mapToInt(FakeUpstream::acceptedConnections).sum();
      return new Measurement(proxy.process.usage(), connections, served);
    }
  }

  private static void addChange(
      SingleProxy proxy, String name, int index, EndpointEntry.Phase phase, long started) {
    String address = proxy.upstreams.get(index % LISTENERS).address();
    proxy.catalogue.add(new EndpointEntry(name, address, phase, started));
  }

  /** Sends requests before, during and after the replacement; returns the fraction served. */
  private static double serve(SingleProxy proxy, int endpoints)
      throws IOException, InterruptedException {
    Random random = new Random(1);
    int sent = 0;
    int served = 0;
    int replaced = 0;
    long start = System.nanoTime();
    try (ClientConnection client = proxy.connect()) {
      for (long now = 0; now < REPLACEMENT_MILLIS + 2 * SERVE_MILLIS; now = millisSince(start)) {
        double replacedFraction =
            Math.min(1, Math.max(0, (now - SERVE_MILLIS) / (double) REPLACEMENT_MILLIS));
        int dueReplacements = (int) (replacedFraction * 0.6 * endpoints);
        for (; replaced < dueReplacements; replaced++) {
          replace(proxy, endpoints, replaced);
        }
        proxy.agent.advanceTo(proxy.catalogue.revision());
        String cookieHeader = "Cookie: sid=" + random.nextInt(AFFINITY_KEYS) + "\r\n\r\n";
        String request = proxy.readRequest(800).replaceFirst("\r\n\r\n$", "\r\n" + cookieHeader);
        sent++;
        served += SingleProxy.exchange(client, request, 800).status() == 200 ? 1 : 0;
        Thread.sleep(REQUEST_INTERVAL_MILLIS);
      }
    }
    return served / (double) sent;
  }

  private static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  private static void replace(SingleProxy proxy, int endpoints, int number) {
    String old = number < LISTENERS ? "s" + number : "e" + number;
    addChange(proxy, old, number, EndpointEntry.Phase.GONE, 0);
    addChange(
        proxy,
        "e" + (endpoints + number),
        number,
        EndpointEntry.Phase.READY,
        System.currentTimeMillis());
  }

  private static void assertAtMost(String quantity, double allowed, double used) {
    assertTrue(used <= allowed, () -> quantity + ": " + used + ", allowed: " + allowed);
  }

  @Test
  void needsLittleMoreWithSixteenTimesTheEndpoints() throws IOException, InterruptedException {
    Measurement usual = measure(USUAL_ENDPOINTS);
    Measurement large = measure(LARGE_ENDPOINTS);
    System.out.println("usual " + usual + ", large " + large);
    double thousands = LARGE_ENDPOINTS / 1000.0;
    assertAtMost(
        "processor seconds",
        1.4 * usual.usage.cpuSeconds() + 0.02 + 0.12 * thousands,
        large.usage.cpuSeconds());
    assertAtMost(
        "peak memory",
        1.5 * usual.usage.peakMebibytes() + 8 + 4 * thousands,
        large.usage.peakMebibytes());
    assertAtMost("descriptors", 2 * usual.usage.descriptors() + 40, large.usage.descriptors());
    assertAtMost("connections", 2.5 * usual.connections + 40, large.connections);
    assertAtMost("fraction not served", 1 - 0.85 * usual.served, 1 - large.served);
  }
}
