package loadbalancer.net;

import java.util.concurrent.TimeUnit;

/**
 * The clock of one proxy instance, in nanoseconds. It never goes backwards, whatever happens to the
 * wall clock, and its origin lies before the process's start so that endpoints older than the
 * process have a time on it too.
 */
public final class MonotonicClock {

  /**
   * The reading at the start of the process. An endpoint that has been up for longer counts as up
   * for this long: no decision depends on the difference.
   */
  private static final long START_READING_NANOS = TimeUnit.DAYS.toNanos(1);

  private final long startNanos = System.nanoTime();

  /** Returns the current reading in nanoseconds. */
  public long nowNanos() {
    return START_READING_NANOS + System.nanoTime() - startNanos;
  }
}
