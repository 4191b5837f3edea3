package loadbalancer.soak;

/**
 * The actions of the platform that excuse a proxy from an invariant. Times are values of {@link
 * System#nanoTime()}.
 */
interface ProxyHistory {

  /**
   * Returns whether a SIGKILL excuses the loss of a request that was sent and ended at these times.
   */
  boolean wasKilledDuring(long sentNanos, long endNanos);

  /** Returns whether the process was stopped at any time in an interval. */
  boolean wasPaused(long fromNanos, long toNanos);
}
