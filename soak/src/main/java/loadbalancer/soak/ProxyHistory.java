package loadbalancer.soak;

/**
 * The actions of the platform that excuse a proxy from an invariant. Times are values of {@link
 * System#nanoTime()}.
 */
interface ProxyHistory {

  /** Returns whether a SIGKILL excuses the loss of a request. */
  boolean hasKillLost(RequestRecord request);

  /** Returns whether the process was stopped at any time in an interval. */
  boolean wasPaused(long fromNanos, long toNanos);
}
