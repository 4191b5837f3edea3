package loadbalancer.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Prevents a second response to a call from being taken for the response to the next call. After a
 * response, a connection is not reused during a quiet period, in which surplus bytes may still
 * arrive. If such bytes arrive on an idle connection after the quiet period, the quiet period of
 * all connections is extended.
 */
final class SecondResponseGuard {

  private static final long INITIAL_QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** The maximum quiet period. Bytes that arrive later do not count as a second response. */
  private static final long MAX_QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The ratio of the quiet period to the longest observed delay; above 1, as delays vary. */
  private static final int QUIET_PERIOD_PER_DELAY = 2;

  private long quietPeriodNanos = INITIAL_QUIET_PERIOD_NANOS;

  /** Returns whether a connection that has been idle for this long may be reused. */
  boolean isQuietPeriodOver(long idleNanos) {
    return idleNanos >= quietPeriodNanos;
  }

  /** Records a second response on a connection that had been idle for this long. */
  void recordSecondResponse(long idleNanos) {
    if (idleNanos <= MAX_QUIET_PERIOD_NANOS) {
      long extended = Math.min(MAX_QUIET_PERIOD_NANOS, QUIET_PERIOD_PER_DELAY * idleNanos);
      quietPeriodNanos = Math.max(quietPeriodNanos, extended);
    }
  }
}
