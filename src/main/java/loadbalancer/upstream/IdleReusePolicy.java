package loadbalancer.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Learns from reused connections how long one may have been idle and still work. Some upstreams, or
 * devices on the way to them, drop idle connections earlier than announced and without notice; a
 * request written to such a connection may have run and cannot always be sent again. Where
 * connections break for another reason than their age, the cost is that new ones are opened
 * needlessly until the observations have decayed.
 */
final class IdleReusePolicy {

  /** Idle times up to this share the first age bucket; each further bucket doubles the time. */
  private static final long FIRST_BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(16);

  private static final int BUCKET_COUNT = 10;

  /** An age is too old if more than this part of its connections broke. */
  private static final double MAX_BROKEN_FRACTION = 0.25;

  /** Fewer broken connections than this, by their decayed count, say nothing of an age. */
  private static final double MIN_BROKEN_COUNT = 2.5;

  /**
   * The time in which an observation decays to 1/e of its weight, in nanoseconds, so that longer
   * idle times are tried again.
   */
  private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final double[] workingCounts = new double[BUCKET_COUNT];
  private final double[] brokenCounts = new double[BUCKET_COUNT];
  private long lastDecayNanos;

  /**
   * Records the outcome of a reuse.
   *
   * @param nowNanos a reading of {@link System#nanoTime()}
   * @param idleNanos how long the connection had been idle
   * @param broken whether it broke before its response began
   */
  void recordReuse(long nowNanos, long idleNanos, boolean broken) {
    double decay = decayAt(nowNanos);
    for (int i = 0; i < BUCKET_COUNT; i++) {
      workingCounts[i] *= decay;
      brokenCounts[i] *= decay;
    }
    lastDecayNanos = nowNanos;
    double[] counts = broken ? brokenCounts : workingCounts;
    counts[bucket(idleNanos)]++;
  }

  /**
   * Returns whether a connection of this idle time is younger than every age at which they break.
   */
  boolean allowsReuse(long nowNanos, long idleNanos) {
    double decay = decayAt(nowNanos);
    for (int i = 0; i <= bucket(idleNanos); i++) {
      double reuses = workingCounts[i] + brokenCounts[i];
      if (brokenCounts[i] * decay >= MIN_BROKEN_COUNT
          && brokenCounts[i] > MAX_BROKEN_FRACTION * reuses) {
        return false;
      }
    }
    return true;
  }

  private double decayAt(long nowNanos) {
    return Math.exp((lastDecayNanos - nowNanos) / DECAY_NANOS);
  }

  private static int bucket(long idleNanos) {
    int doublings = Long.SIZE - Long.numberOfLeadingZeros(idleNanos / FIRST_BUCKET_NANOS);
    return Math.min(BUCKET_COUNT - 1, doublings);
  }
}
