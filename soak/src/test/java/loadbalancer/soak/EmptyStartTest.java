package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a process that is not ready for as long as no endpoint is. It becomes ready in
 * time, rejects requests at once, and serves them once an endpoint is listed.
 */
class EmptyStartTest {

  /** The time within which a restarted proxy has to be ready. */
  private static final long MAX_START_MILLIS = 10_000;

  /**
   * Below the 90 ms, 0.3 of the latency objective, for which a queued request waits. The median is
   * compared with it, as another process may hold up a single response.
   */
  private static final long MAX_REJECTION_MILLIS = 80;

  private static final int REJECTED = 429;
  private static final int REQUESTS = 10;
  private static final long REQUEST_DEADLINE_MILLIS = 800;

  @TempDir Path folder;

  private SingleProxy proxy() throws IOException, InterruptedException {
    return new SingleProxy(folder, Deployment.of(1, 2), 0, 0);
  }

  /** Publishes a phase of all endpoints. */
  private static void publish(SingleProxy proxy, EndpointEntry.Phase phase) {
    int revision = 0;
    for (FakeUpstream upstream : proxy.upstreams) {
      revision = proxy.addChange(upstream, phase, 0);
    }
    proxy.agent.advanceTo(revision);
  }

  private static void startInTime(SingleProxy proxy) throws IOException, InterruptedException {
    proxy.process.start();
    assertTrue(proxy.process.awaitReady(MAX_START_MILLIS), proxy.process.log());
  }

  private static void assertRejectsAtOnce(SingleProxy proxy) throws IOException {
    long[] millis = new long[REQUESTS];
    try (ClientConnection client = proxy.connect()) {
      for (int i = 0; i < REQUESTS; i++) {
        long startNanos = System.nanoTime();
        String request = proxy.readRequest(REQUEST_DEADLINE_MILLIS);
        assertEquals(
            REJECTED, SingleProxy.exchange(client, request, REQUEST_DEADLINE_MILLIS).status());
        millis[i] = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
      }
    }
    Arrays.sort(millis);
    long median = millis[REQUESTS / 2];
    assertTrue(median < MAX_REJECTION_MILLIS, "rejected after " + median + " ms");
  }

  private static void assertServesOnceAnEndpointIsReady(SingleProxy proxy)
      throws IOException, InterruptedException {
    publish(proxy, EndpointEntry.Phase.READY);
    proxy.awaitLog("INFO endpoint_ready");
    try (ClientConnection client = proxy.connect()) {
      String request = proxy.readRequest(REQUEST_DEADLINE_MILLIS);
      assertEquals(200, SingleProxy.exchange(client, request, REQUEST_DEADLINE_MILLIS).status());
    }
  }

  @Test
  void isReadyWhileAllEndpointsDrain() throws IOException, InterruptedException {
    try (SingleProxy proxy = proxy()) {
      publish(proxy, EndpointEntry.Phase.DRAINING);
      proxy.configure(proxy.agent);
      startInTime(proxy);
      assertRejectsAtOnce(proxy);
      assertServesOnceAnEndpointIsReady(proxy);
    }
  }

  /** The list that is known from before still has ready endpoints. */
  @Test
  void isReadyWithAnEmptyCompleteList() throws IOException, InterruptedException {
    try (SingleProxy proxy = proxy()) {
      proxy.agent.setStartsWithCompleteList(true);
      publish(proxy, EndpointEntry.Phase.DRAINING);
      startInTime(proxy);
      assertRejectsAtOnce(proxy);
      assertServesOnceAnEndpointIsReady(proxy);
    }
  }

  @Test
  void staysReadyWhenTheListEmptiesBeforeTheFirstRequest()
      throws IOException, InterruptedException {
    try (SingleProxy proxy = proxy()) {
      proxy.agent.setStartsWithCompleteList(true);
      startInTime(proxy);
      publish(proxy, EndpointEntry.Phase.DRAINING);
      proxy.agent.resetWatches();
      proxy.awaitLog("no_endpoint_ready");
      assertTrue(proxy.process.awaitReady(MAX_START_MILLIS), proxy.process.log());
      assertRejectsAtOnce(proxy);
      assertServesOnceAnEndpointIsReady(proxy);
    }
  }

  /** Discovery is silent, and no endpoint of the list that is known from before is ready. */
  @Test
  void isReadyInTimeWhileDiscoveryIsSilent() throws IOException, InterruptedException {
    try (SingleProxy proxy = proxy()) {
      publish(proxy, EndpointEntry.Phase.DRAINING);
      proxy.configure(proxy.agent);
      proxy.agent.setDown(true);
      startInTime(proxy);
      assertRejectsAtOnce(proxy);
      proxy.agent.setDown(false);
      proxy.agent.resetWatches();
      assertServesOnceAnEndpointIsReady(proxy);
    }
  }
}
