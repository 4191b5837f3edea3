package loadbalancer.net;

import java.util.concurrent.TimeUnit;

/**
 * The clock of one proxy instance, in nanoseconds. It never goes backwards, and its origin lies
 * before the process's start so that endpoints older than the process have a time on it too.
 */
public final class MonotonicClock {

  /**
   * The reading at the start of the process. An endpoint that has been up for longer counts as up
   * for this long: no decision depends on the difference.
   */
  private static final long ORIGIN_NANOS = TimeUnit.DAYS.toNanos(1);

  private final long startNanos = System.nanoTime();
  private final long startUnixMillis = System.currentTimeMillis();

  /** Returns the current reading in nanoseconds. */
  public long nowNanos() {
    return ORIGIN_NANOS + System.nanoTime() - startNanos;
  }

  /**
   * Converts a Unix time to a reading of this clock, in nanoseconds; zero, which means long ago,
   * stays zero. The distance between the two clocks is measured once: measured anew on each call, a
   * drift of the wall clock would look like a restart of every endpoint on the list.
   *
   * @param unixMillis milliseconds since 1970
   */
  public long nanosAtUnixMillis(long unixMillis) {
    if (unixMillis <= 0) {
      return 0;
    }
    return Math.max(1, ORIGIN_NANOS + TimeUnit.MILLISECONDS.toNanos(unixMillis - startUnixMillis));
  }
}
