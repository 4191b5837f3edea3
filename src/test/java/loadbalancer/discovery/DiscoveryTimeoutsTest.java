package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loadbalancer.decision.DiscoveryPoller;
import loadbalancer.proxy.AgentRetryPolicy;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the sums of timeouts and backoffs over the worst sequences of failures. */
class DiscoveryTimeoutsTest {

  /** The longest wait of a call at a slow discovery that is survived. */
  private static final long LONGEST_WAIT_MILLIS = 5000;

  /** Enough consecutive failures for every backoff and timeout to reach its maximum. */
  private static final int MANY_FAILURES = 20;

  /**
   * An exceeded limit is detected at the next check. The margin below the deadline allows for a
   * busy event loop and, where lists are polled, for the queue of the discovery service.
   */
  @ParameterizedTest
  @CsvSource({"true,1000", "false,800"})
  void everySequenceOfTimeoutsAndBackoffsEndsWellBeforeUpdateDeadline(
      boolean isPushed, long marginMillis) {
    long checkMillis = DiscoveryTimeouts.CHECK_INTERVAL_MILLIS;
    // A watch falls silent just before the update. The watch that replaces it receives no list, and
    // where lists are pushed neither does the one after that.
    long silentMillis = DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS + checkMillis;
    int watchesWithoutList = isPushed ? 2 : 1;
    for (int failures = 0; failures < watchesWithoutList; failures++) {
      silentMillis +=
          backoffMillis(isPushed, failures)
              + DiscoveryTimeouts.firstListTimeoutMillis(isPushed, failures)
              + checkMillis;
    }
    silentMillis += backoffMillis(isPushed, watchesWithoutList);
    assertWithinDeadline("silent watches", silentMillis + marginMillis);
    // Two consecutive lists are truncated.
    long truncatedMillis =
        2 * (DiscoveryTimeouts.LIST_COMPLETION_TIMEOUT_MILLIS + checkMillis)
            + backoffMillis(isPushed, 0)
            + backoffMillis(isPushed, 1);
    assertWithinDeadline("truncated lists", truncatedMillis + marginMillis);
    // After a long outage, the last failing call starts just before discovery becomes reachable.
    long outageMillis =
        DiscoveryTimeouts.firstListTimeoutMillis(isPushed, MANY_FAILURES)
            + checkMillis
            + backoffMillis(isPushed, MANY_FAILURES);
    assertWithinDeadline("outage", outageMillis + 2 * marginMillis);
  }

  /**
   * A call that waits for up to 5 s is kept until its list comes. One that is never answered takes
   * the place of such a call for less time than a change may take.
   */
  @Test
  void delayedCallIsKeptForLongWaitsAndForLessThanUpdateDeadline() {
    long checkMillis = DiscoveryTimeouts.CHECK_INTERVAL_MILLIS;
    assertTrue(DiscoveryTimeouts.MAX_FIRST_LIST_WAIT_MILLIS - checkMillis > LONGEST_WAIT_MILLIS);
    assertWithinDeadline(
        "an unanswered call", DiscoveryTimeouts.MAX_FIRST_LIST_WAIT_MILLIS + checkMillis);
    // A delayed call is not given up before the newer one is made.
    for (boolean isPushed : new boolean[] {true, false}) {
      assertTrue(
          DiscoveryTimeouts.firstListTimeoutMillis(isPushed, MANY_FAILURES)
              < DiscoveryTimeouts.MAX_FIRST_LIST_WAIT_MILLIS);
    }
  }

  /**
   * The agent leaves a call of this process unanswered and learns of a drain at the same time,
   * which starts the grace period of the drain. The retry of the call must be sent early enough to
   * connect and be answered within that period.
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
        sequence + ": " + millis + " ms including the margin");
  }

  private static long backoffMillis(boolean isPushed, int failures) {
    return isPushed
        ? AgentRetryPolicy.backoffMillis(failures)
        : TimeUnit.NANOSECONDS.toMillis(DiscoveryPoller.maxPollBackoffNanos(failures));
  }
}
