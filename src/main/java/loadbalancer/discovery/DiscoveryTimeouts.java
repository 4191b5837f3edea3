package loadbalancer.discovery;

/**
 * The time limits of discovery calls, all in milliseconds. They depend on each other: a change at
 * discovery must arrive within {@link #UPDATE_DEADLINE_MILLIS} even if several calls fail in
 * between. DiscoveryTimeoutsTest checks the sums.
 */
public final class DiscoveryTimeouts {

  /** The time within which a change must arrive once discovery has it and is reachable. */
  static final long UPDATE_DEADLINE_MILLIS = 6000;

  /**
   * The longest time for which a call is kept that waits for its first list, beside a newer one: a
   * discovery that is slow answers it, while one that has lost it may answer the newer one.
   */
  static final long MAX_FIRST_LIST_WAIT_MILLIS = 5200;

  /**
   * The time without received data after which a call that has received a list fails, and the
   * maximum of the time after which a newer call is made where the list is polled. Discovery writes
   * a line every 2 s. The limit is far below the deadline for updates because the watch that
   * replaces a failed one may have a dead connection as well.
   */
  static final long SILENCE_TIMEOUT_MILLIS = 2800;

  /**
   * The time for the first list of a watch where the list is pushed. The agent on this machine
   * responds immediately, so a watch that has no list by then counts as delayed.
   */
  public static final long AGENT_FIRST_LIST_TIMEOUT_MILLIS = 750;

  /**
   * The fraction of the drain grace period within which the agent's response must start. The grace
   * period of a drain starts when the agent learns of it. While discovery is down the agent may
   * leave a call unanswered, and the call must be retried within the grace period.
   */
  private static final double AGENT_FIRST_BYTE_FRACTION = 0.4;

  /**
   * The time for the first list of a call where the list is polled, if no call was delayed since
   * the last list. The discovery service queues calls, so the time doubles with every delayed call:
   * with a constant time the queue would grow.
   */
  static final long POLL_FIRST_LIST_TIMEOUT_MILLIS = 1400;

  /** Enough doublings to reach {@link #SILENCE_TIMEOUT_MILLIS}, but too few to overflow. */
  private static final int MAX_DOUBLINGS = 10;

  /**
   * The time after which a partly received list counts as truncated. If the call went on, the next
   * list would be parsed as the rest of the truncated one.
   */
  static final long LIST_COMPLETION_TIMEOUT_MILLIS = 1000;

  /** The interval at which a call checks its limits, and so the maximum delay of detection. */
  static final long CHECK_INTERVAL_MILLIS = 100;

  private DiscoveryTimeouts() {}

  /**
   * Returns the maximum time from a request to the first byte of the local agent's response.
   *
   * @param drainGraceMillis the time within which a drain must take effect after the agent learns
   *     of it; 0 if unknown
   */
  public static long agentFirstByteTimeoutMillis(long drainGraceMillis) {
    return drainGraceMillis <= 0
        ? AGENT_FIRST_LIST_TIMEOUT_MILLIS
        : Math.min(
            AGENT_FIRST_LIST_TIMEOUT_MILLIS, (long) (drainGraceMillis * AGENT_FIRST_BYTE_FRACTION));
  }

  /**
   * Returns the time for the first list of a call, after which the call counts as delayed and a
   * newer one is made.
   *
   * @param isPushed whether the list is pushed by an agent on this machine
   * @param delaysSinceLastList the number of calls that were delayed since the last list
   */
  static long firstListTimeoutMillis(boolean isPushed, int delaysSinceLastList) {
    if (isPushed) {
      return AGENT_FIRST_LIST_TIMEOUT_MILLIS;
    }
    int doublings = Math.min(delaysSinceLastList, MAX_DOUBLINGS);
    return Math.min(SILENCE_TIMEOUT_MILLIS, POLL_FIRST_LIST_TIMEOUT_MILLIS << doublings);
  }
}
