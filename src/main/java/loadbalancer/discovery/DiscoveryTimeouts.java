package loadbalancer.discovery;

/**
 * The time limits of discovery, all in milliseconds. They depend on one another: from a change at
 * discovery to its arrival here, whatever fails in between, no more than {@link
 * #UPDATE_DEADLINE_MILLIS} may pass. The sums are checked in DiscoveryTimeoutsTest.
 */
public final class DiscoveryTimeouts {

  /** A change must have arrived this long after discovery had it and could be reached. */
  static final long UPDATE_DEADLINE_MILLIS = 6000;

  /**
   * A call that receives no byte for so long has failed. Discovery writes a line every 2 s. The
   * limit is far below the deadline for updates, because a watch that died unnoticed may be
   * replaced by one that is dead as well.
   */
  static final long SILENCE_TIMEOUT_MILLIS = 2800;

  /**
   * Where the list is pushed: the time for the first list of a watch. The agent on this machine
   * responds at once, so that a watch without a list by then was dead from its start.
   */
  public static final long AGENT_FIRST_LIST_TIMEOUT_MILLIS = 750;

  /**
   * The part of a drain's grace that the agent's response may take to begin. What the agent has
   * applies from the moment on in which it gets it; a call that it passed over, while discovery was
   * down, has to be made again within that grace.
   */
  private static final double AGENT_FIRST_BYTE_FRACTION = 0.4;

  /**
   * Where the list is polled: the time for the first list of a call, if the call before had one.
   * Calls wait in a queue there, so that the time doubles with every call that was abandoned: one
   * that was always abandoned as early would never get through a long queue.
   */
  static final long POLL_FIRST_LIST_TIMEOUT_MILLIS = 1400;

  /** Enough for the time to reach {@link #SILENCE_TIMEOUT_MILLIS}, and too few for an overflow. */
  private static final int MAX_DOUBLINGS = 10;

  /**
   * A list that began and is incomplete after so long was cut off. What follows would be read as
   * its rest.
   */
  static final long LIST_COMPLETION_TIMEOUT_MILLIS = 1000;

  /** How often a call checks its limits; each of them is exceeded by so much at most. */
  static final long CHECK_INTERVAL_MILLIS = 100;

  private DiscoveryTimeouts() {}

  /**
   * The time from a call's request to the first byte of the local agent's response.
   *
   * @param drainGraceMillis how long after the agent knows of it a drain has to be heeded; 0 for
   *     unknown
   */
  public static long agentFirstByteTimeoutMillis(long drainGraceMillis) {
    return drainGraceMillis <= 0
        ? AGENT_FIRST_LIST_TIMEOUT_MILLIS
        : Math.min(
            AGENT_FIRST_LIST_TIMEOUT_MILLIS, (long) (drainGraceMillis * AGENT_FIRST_BYTE_FRACTION));
  }

  /**
   * The time that a call has for its first list.
   *
   * @param pushed whether the list is pushed by an agent on this machine
   * @param abandonedCalls calls in a row that were abandoned without a list
   */
  static long firstListTimeoutMillis(boolean isPushed, int consecutiveTimeouts) {
    if (isPushed) {
      return AGENT_FIRST_LIST_TIMEOUT_MILLIS;
    }
    int doublings = Math.min(consecutiveTimeouts, MAX_DOUBLINGS);
    return Math.min(SILENCE_TIMEOUT_MILLIS, POLL_FIRST_LIST_TIMEOUT_MILLIS << doublings);
  }
}
