package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loadbalancer.decision.DiscoveryPoller;
import loadbalancer.proxy.AgentRetryPolicy;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The time limits and backoffs, added up along the worst chains of failures. */
class DiscoveryTimeoutsTest {

  /** More failures than any backoff or limit grows with. */
  private static final int MANY_FAILURES = 20;

  /**
   * Each limit is noticed at the next check. What is left of the deadline is for a busy event loop
   * and, where lists are polled, for the service's queue.
   */
  @ParameterizedTest
  @CsvSource({"true,1000", "false,800"})
  void everySequenceOfTimeoutsAndBackoffsEndsWellBeforeUpdateDeadline(
      boolean isPushed, long marginMillis) {
    long checkMillis = DiscoveryTimeouts.CHECK_INTERVAL_MILLIS;
    // A watch falls silent with the update; the one that replaces it is dead as well, and where
    // lists are pushed the next one, too.
    long silentMillis = DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS + checkMillis;
    int deadWatches = isPushed ? 2 : 1;
    for (int failures = 0; failures < deadWatches; failures++) {
      silentMillis +=
          backoffMillis(isPushed, failures)
              + DiscoveryTimeouts.firstListTimeoutMillis(isPushed, failures)
              + checkMillis;
    }
    silentMillis += backoffMillis(isPushed, deadWatches);
    assertWithinDeadline("silent watches", silentMillis + marginMillis);
    // A list is cut off, and the same again.
    long truncatedMillis =
        2 * (DiscoveryTimeouts.LIST_COMPLETION_TIMEOUT_MILLIS + checkMillis)
            + backoffMillis(isPushed, 0)
            + backoffMillis(isPushed, 1);
    assertWithinDeadline("lists cut off", truncatedMillis + marginMillis);
    // After a long outage: the last call that fails began just before discovery was reachable.
    long outageMillis =
        DiscoveryTimeouts.firstListTimeoutMillis(isPushed, MANY_FAILURES)
            + checkMillis
            + backoffMillis(isPushed, MANY_FAILURES);
    assertWithinDeadline("outage", outageMillis + 2 * marginMillis);
  }

  /**
   * The agent gets a drain in the moment in which it passes over a call: another one has to be
   * answered within the grace, with as much spare as the connection may take.
   */
  @ParameterizedTest
  @ValueSource(longs = {300, 500, 2000})
  void callLeftUnansweredByAgentIsRetriedWithinDrainGracePeriod(long graceMillis) {
    long graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
    long retryMillis =
        DiscoveryTimeouts.agentFirstByteTimeoutMillis(graceMillis)
            + DiscoveryTimeouts.CHECK_INTERVAL_MILLIS
            + AgentRetryPolicy.backoffMillis(MANY_FAILURES, graceNanos);
    assertTrue(retryMillis < graceMillis, retryMillis + " ms");
  }

  private static void assertWithinDeadline(String sequence, long millis) {
    assertTrue(
        millis <= DiscoveryTimeouts.UPDATE_DEADLINE_MILLIS,
        sequence + ": " + millis + " ms with what is spared");
  }

  private static long backoffMillis(boolean isPushed, int failures) {
    return isPushed
        ? AgentRetryPolicy.backoffMillis(failures)
        : TimeUnit.NANOSECONDS.toMillis(DiscoveryPoller.maxPollBackoffNanos(failures));
  }
}
