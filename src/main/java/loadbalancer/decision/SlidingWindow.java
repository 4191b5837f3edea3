package loadbalancer.decision;

/** Counts and sums over a sliding time window of fixed length. */
@SuppressWarnings("EnumOrdinal") // Indexes arrays: maps in thousands of windows would cost more.
final class SlidingWindow {

  /** A quantity that a window sums up. */
  enum Metric {
    OFFERED, // requests that arrived
    ADMITTED, // requests that were admitted
    SAMPLES, // number of latency samples
    LATENCY_SUM, // sum of the latency samples
    OBJECTIVE_SUM // latency objectives of successful responses, in seconds, times their loads
  }

  private static final int METRICS = Metric.values().length;
  private static final int SLOTS = 12; // parts of a window, each of which expires as a whole

  private final long slotNanos;
  // The slots of each metric; null for a metric that has not been added to, as most never are.
  private final double[][] slots = new double[METRICS][];
  private final double[] totals = new double[METRICS];
  private long slot;

  SlidingWindow(long lengthNanos, long now) {
    slotNanos = lengthNanos / SLOTS;
    slot = now / slotNanos;
  }

  void add(long now, Metric metric, double amount) {
    totals[metric.ordinal()] = total(now, metric) + amount;
    slotsOf(metric)[(int) (slot % SLOTS)] += amount;
  }

  private double[] slotsOf(Metric metric) {
    if (slots[metric.ordinal()] == null) {
      slots[metric.ordinal()] = new double[SLOTS];
    }
    return slots[metric.ordinal()];
  }

  void addSample(long now, double latency) {
    add(now, Metric.SAMPLES, 1);
    add(now, Metric.LATENCY_SUM, latency);
  }

  /** Returns whether the window has been unused for at least its length, so all totals are 0. */
  boolean isIdle(long now) {
    return now / slotNanos - slot >= SLOTS;
  }

  /** Expires old slots and returns the sum of a metric over the window. */
  double total(long now, Metric metric) {
    long current = now / slotNanos;
    for (long s = Math.max(slot + 1, current - SLOTS + 1); s <= current; s++) {
      expireSlot((int) (s % SLOTS));
    }
    slot = current;
    return totals[metric.ordinal()];
  }

  private void expireSlot(int index) {
    for (int m = 0; m < METRICS; m++) {
      if (slots[m] != null) {
        totals[m] -= slots[m][index];
        slots[m][index] = 0;
      }
    }
  }

  /**
   * Returns a low estimate of a count's rate per second: the observed rate less one standard
   * deviation, so that random variation seldom makes it too high.
   */
  double rateLowerBound(long now, Metric metric) {
    double count = total(now, metric);
    return (count - Math.sqrt(count)) * 1e9 / (slotNanos * SLOTS);
  }

  /** Returns the mean of the samples, or 0, which counts as healthy, if there are none. */
  double mean(long now) {
    double samples = total(now, Metric.SAMPLES);
    return samples < 0.5 ? 0 : total(now, Metric.LATENCY_SUM) / samples;
  }
}
