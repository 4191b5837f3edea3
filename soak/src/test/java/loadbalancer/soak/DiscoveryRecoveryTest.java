package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a drain published when discovery recovers is followed within the grace period. */
class DiscoveryRecoveryTest {

  private static final long REQUEST_DEADLINE_MILLIS = 400;
  private static final long SERVE_MILLIS = 1500;

  /** Tolerance added to time limits because real sockets delay events. */
  private static final long SLACK_MILLIS = 50;

  @TempDir Path folder;

  /**
   * The agent ignores a request, and right afterwards discovery recovers with a draining endpoint.
   */
  @Test
  void followsADrainPublishedWhenDiscoveryRecovers() throws IOException, InterruptedException {
    Deployment deployment = Deployment.of(1, 3);
    try (SingleProxy proxy = new SingleProxy(folder, deployment, 0, 0, 0).start()) {
      proxy.agent.setDown(true);
      proxy.agent.resetWatches();
      proxy.agent.awaitIgnoredRequests(4);
      FakeUpstream leaving = proxy.upstreams.get(0);
      int revision = proxy.addChange(leaving, EndpointEntry.Phase.DRAINING, 0);
      long notifiedNanos = System.nanoTime();
      proxy.agent.advanceTo(revision);
      proxy.agent.setDown(false);
      serve(proxy);
      long graceNanos = TimeUnit.MILLISECONDS.toNanos(deployment.drainGraceMillis() + SLACK_MILLIS);
      long lateAttempts =
          proxy.attempts.all().stream()
              .flatMap(List::stream)
              .filter(attempt -> attempt.endpoint().equals(leaving.name()))
              .filter(attempt -> attempt.firstByteNanos() > notifiedNanos + graceNanos)
              .count();
      assertEquals(0, lateAttempts, "attempts after the grace period");
    }
  }

  private static void serve(SingleProxy proxy) throws IOException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SERVE_MILLIS);
    try (ClientConnection client = proxy.connect()) {
      while (System.nanoTime() < until) {
        SingleProxy.exchange(
            client, proxy.readRequest(REQUEST_DEADLINE_MILLIS), REQUEST_DEADLINE_MILLIS);
      }
    }
  }
}
