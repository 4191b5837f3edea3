package loadbalancer.net;

import java.util.concurrent.TimeUnit;

/**
 * The clock of one proxy instance, in nanoseconds. It never goes backwards, even if the wall clock
 * is set back. Its origin lies before the start of the process, so that the start times of
 * endpoints older than the process can be expressed on it.
 */
public final class MonotonicClock {

  /**
   * The clock reading at the start of the process. An endpoint that started before the origin is
   * treated as started at the origin; no decision depends on the difference.
   */
  private static final long START_READING_NANOS = TimeUnit.DAYS.toNanos(1);

  private final long startNanos = System.nanoTime();

  /** Returns the current reading in nanoseconds. */
  public long nowNanos() {
    return START_READING_NANOS + System.nanoTime() - startNanos;
  }
}
