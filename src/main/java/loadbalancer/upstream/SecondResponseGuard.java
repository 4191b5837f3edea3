package loadbalancer.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Keeps a second response from being taken for the response to the next call. After a response a
 * connection is not reused during a quiet period, in which what belongs to that response still
 * arrives. Where something has arrived later than that on an idle connection, the quiet period of
 * all connections grows to cover the delay.
 */
final class SecondResponseGuard {

  private static final long INITIAL_QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /** The longest quiet period. What arrives later than this is not counted as a second response. */
  private static final long MAX_QUIET_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** The quiet period is this many times the longest delay seen, as the next one may be longer. */
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
