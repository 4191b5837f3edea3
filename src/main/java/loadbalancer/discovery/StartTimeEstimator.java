package loadbalancer.discovery;

import java.util.concurrent.TimeUnit;

/**
 * Estimates the start times of endpoints on this process's monotonic clock. Discovery states them
 * as wall clock times. The wall clock of this machine may be off by any amount or be stepped, so it
 * is not read. The estimate relies on two facts: a stated start lies in the past, and the
 * differences between stated starts are correct. Hence discovery's clock shows at least the latest
 * stated start plus the time that has passed since it was received.
 *
 * <p>The estimate is never too early and never after the time at which the endpoint was first
 * listed. An endpoint may therefore warm up for too long, but not for too short a time, and not
 * longer than if it had started when it was first listed.
 */
final class StartTimeEstimator {

  /** A lower bound of discovery's clock minus this process's clock. Later starts may raise it. */
  private long offsetLowerBoundNanos = Long.MIN_VALUE;

  /**
   * Records a stated start time.
   *
   * @param statedUnixMillis the stated start, in Unix time; 0 for a start long ago
   * @param nowNanos the current reading of this process's clock
   */
  void observe(long statedUnixMillis, long nowNanos) {
    long statedNanos = TimeUnit.MILLISECONDS.toNanos(statedUnixMillis);
    if (statedNanos > 0 && statedNanos < Long.MAX_VALUE) {
      offsetLowerBoundNanos = Math.max(offsetLowerBoundNanos, statedNanos - nowNanos);
    }
  }

  /**
   * Returns the latest time at which an endpoint may have started, or 0 for a start long ago. Its
   * stated start must have been passed to {@link #observe} before.
   *
   * @param statedUnixMillis the stated start, in Unix time; 0 for a start long ago
   * @param notBeforeNanos a known lower bound of the start
   * @param nowNanos the current reading of this process's clock
   */
  long startedNanos(long statedUnixMillis, long notBeforeNanos, long nowNanos) {
    if (statedUnixMillis <= 0) {
      return 0;
    }
    long statedNanos = TimeUnit.MILLISECONDS.toNanos(statedUnixMillis);
    if (statedNanos == Long.MAX_VALUE) {
      return nowNanos; // The stated time is out of range.
    }
    return Math.max(1, Math.max(notBeforeNanos, statedNanos - offsetLowerBoundNanos));
  }
}
