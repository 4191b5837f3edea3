package loadbalancer.proxy;

import java.util.concurrent.TimeUnit;

/**
 * Backoff between attempts to reopen the watch on the local discovery agent. Where lists are
 * pushed, only this process calls its agent, so the delays need only be long enough to avoid a busy
 * loop. They are short enough for several attempts within the time in which a change that the agent
 * knows of has to arrive.
 */
public final class AgentRetryPolicy {

  /** The drain grace period divided by this is the upper bound of a delay. */
  private static final int GRACE_DIVISOR = 4;

  private static final long FIRST_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 400;

  /** Bounds the shift in {@link #backoffMillis(int)} so that it cannot overflow. */
  private static final int MAX_DOUBLINGS = 10;

  private AgentRetryPolicy() {}

  /**
   * Returns the maximum delay before the next attempt, in milliseconds.
   *
   * @param failures number of consecutive failures before the latest one
   */
  public static long backoffMillis(int failures) {
    return Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS));
  }

  /**
   * Returns the maximum delay before the next attempt, limited also to a fraction of the drain
   * grace period, in milliseconds. A drain counts from the moment at which the agent knows of it,
   * whether or not a watch is open, and several watches in a row may end before one delivers it.
   */
  public static long backoffMillis(int failures, long drainGraceNanos) {
    long graceMillis = TimeUnit.NANOSECONDS.toMillis(drainGraceNanos);
    long maxMillis = Math.max(FIRST_BACKOFF_MILLIS, graceMillis / GRACE_DIVISOR);
    return Math.min(maxMillis, backoffMillis(failures));
  }
}
