package loadbalancer.upstream;

import java.util.concurrent.TimeUnit;

/**
 * Learns from reused connections after which idle times they still work. Some upstreams, or network
 * devices in between, drop idle connections silently and earlier than configured. A request written
 * to such a connection may have run and cannot always be retried. If connections break for other
 * reasons than their idle time, new ones are opened needlessly until the observations have decayed.
 */
final class IdleReusePolicy {

  /** The upper bound of the first bucket of idle times; each further bucket doubles it. */
  private static final long FIRST_BUCKET_NANOS = TimeUnit.MILLISECONDS.toNanos(16);

  private static final int BUCKET_COUNT = 10;

  /** A bucket is rejected only if more than this fraction of its reused connections broke. */
  private static final double MAX_BROKEN_FRACTION = 0.25;

  /** A bucket is rejected only if its decayed count of broken connections is at least this. */
  private static final double MIN_BROKEN_COUNT = 2.5;

  /**
   * The time in which the weight of an observation decays to 1/e, so that rejected idle times are
   * tried again.
   */
  private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(20);

  private final double[] workingCounts = new double[BUCKET_COUNT];
  private final double[] brokenCounts = new double[BUCKET_COUNT];
  private long lastDecayNanos;

  /**
   * Records the outcome of a reuse.
   *
   * @param nowNanos a reading of {@link System#nanoTime()}
   * @param idleNanos the idle time before the reuse
   * @param hasBroken whether the connection broke before its response started
   */
  void recordReuse(long nowNanos, long idleNanos, boolean hasBroken) {
    double decay = decayAt(nowNanos);
    for (int i = 0; i < BUCKET_COUNT; i++) {
      workingCounts[i] *= decay;
      brokenCounts[i] *= decay;
    }
    lastDecayNanos = nowNanos;
    double[] counts = hasBroken ? brokenCounts : workingCounts;
    counts[bucket(idleNanos)]++;
  }

  /**
   * Returns whether a connection may be reused after this idle time: neither its bucket nor any
   * bucket of shorter idle times is rejected.
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
