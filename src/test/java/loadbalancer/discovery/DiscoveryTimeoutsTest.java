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
  private static final int MANY = 20;

  /**
   * Each limit is noticed at the next check. What is left of the deadline is for a busy event loop
   * and, where lists are polled, for the service's queue.
   */
  @ParameterizedTest
  @CsvSource({"true,1000", "false,800"})
  void noChainOfTimeoutsAndBackoffsComesNearToTheUpdateDeadline(boolean pushed, long spareMillis) {
    long check = DiscoveryTimeouts.CHECK_INTERVAL_MILLIS;
    // A watch falls silent with the update; the one that replaces it is dead as well, and where
    // lists are pushed the next one, too.
    long silent = DiscoveryTimeouts.SILENCE_MILLIS + check;
    int deadWatches = pushed ? 2 : 1;
    for (int dead = 0; dead < deadWatches; dead++) {
      silent +=
          backoffMillis(pushed, dead) + DiscoveryTimeouts.firstListMillis(pushed, dead) + check;
    }
    silent += backoffMillis(pushed, deadWatches);
    assertInTime("silent watches", silent + spareMillis);
    // A list is cut off, and the same again.
    long cutOff =
        2 * (DiscoveryTimeouts.COMPLETE_LIST_MILLIS + check)
            + backoffMillis(pushed, 0)
            + backoffMillis(pushed, 1);
    assertInTime("lists cut off", cutOff + spareMillis);
    // After a long outage: the last call that fails began just before discovery was reachable.
    long outage =
        DiscoveryTimeouts.firstListMillis(pushed, MANY) + check + backoffMillis(pushed, MANY);
    assertInTime("outage", outage + 2 * spareMillis);
  }

  /**
   * The agent gets a drain in the moment in which it passes over a call: another one has to be
   * answered within the grace, with as much spare as the connection may take.
   */
  @ParameterizedTest
  @ValueSource(longs = {300, 500, 2000})
  void aCallThatTheAgentPassedOverIsMadeAgainWithinADrainsGrace(long graceMillis) {
    long graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMillis);
    long again =
        DiscoveryTimeouts.agentFirstByteTimeoutMillis(graceMillis)
            + DiscoveryTimeouts.CHECK_INTERVAL_MILLIS
            + AgentRetryPolicy.backoffMillis(MANY, graceNanos);
    assertTrue(again < graceMillis, again + " ms");
  }

  private static void assertInTime(String chain, long millis) {
    assertTrue(
        millis <= DiscoveryTimeouts.UPDATE_DEADLINE_MILLIS,
        chain + ": " + millis + " ms with what is spared");
  }

  private static long backoffMillis(boolean pushed, int failures) {
    return pushed
        ? AgentRetryPolicy.backoffMillis(failures)
        : TimeUnit.NANOSECONDS.toMillis(DiscoveryPoller.maxPollBackoffNanos(failures));
  }
}
