package loadbalancer.soak;

/**
 * The actions of the platform that excuse a proxy from an invariant. Times are values of {@link
 * System#nanoTime()}.
 */
interface ProxyHistory {

  /**
   * Returns whether a SIGKILL excuses the loss of a request.
   *
   * @param writeStartedNanos the time right before the write of its last byte
   * @param endNanos the time at which its client learned of the loss
   */
  boolean wasKilledDuring(long writeStartedNanos, long endNanos);

  /** Returns whether the process was stopped at any time in an interval. */
  boolean wasPaused(long fromNanos, long toNanos);
}
