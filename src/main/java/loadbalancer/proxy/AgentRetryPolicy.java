package loadbalancer.proxy;

/**
 * Backoff of the watch on the local discovery agent. Where lists are pushed, only this process
 * calls its agent: the waits are long enough not to spin, and short enough for several attempts
 * before a change that the agent knows of has to have arrived.
 */
public final class AgentRetryPolicy {

  private static final long FIRST_BACKOFF_MILLIS = 50;
  private static final long MAX_BACKOFF_MILLIS = 400;

  /** Keeps the shift below from overflowing. */
  private static final int MAX_DOUBLINGS = 10;

  private AgentRetryPolicy() {}

  /**
   * The longest wait before the next attempt, in milliseconds.
   *
   * @param failures attempts that failed in a row before the last one
   */
  public static long backoffMillis(int failures) {
    return Math.min(MAX_BACKOFF_MILLIS, FIRST_BACKOFF_MILLIS << Math.min(failures, MAX_DOUBLINGS));
  }
}
