package loadbalancer.decision;

/** Counts and sums over a sliding time window of fixed length. */
@SuppressWarnings("EnumOrdinal") // Arrays by metric: maps for thousands of windows cost more.
final class SlidingWindow {

  /** A quantity that a window sums up. */
  enum Metric {
    OFFERED, // requests that arrived
    ADMITTED, // requests that were admitted
    SAMPLES, // number of latency samples
    LATENCY_SUM, // sum of the latency samples
    OBJECTIVE_SUM // latency objectives of successful responses, in seconds, times their loads
  }

  private static final int SLOTS = 12; // parts of a window, each of which expires as a whole

  private final long slotNanos;
  private final double[][] slots = new double[Metric.values().length][SLOTS];
  private final double[] totals = new double[Metric.values().length];
  private long slot;

  SlidingWindow(long lengthNanos, long now) {
    slotNanos = lengthNanos / SLOTS;
    slot = now / slotNanos;
  }

  void add(long now, Metric metric, double amount) {
    totals[metric.ordinal()] = total(now, metric) + amount;
    slots[metric.ordinal()][(int) (slot % SLOTS)] += amount;
  }

  void addSample(long now, double latency) {
    add(now, Metric.SAMPLES, 1);
    add(now, Metric.LATENCY_SUM, latency);
  }

  /** Returns whether the window was not used for its whole length, so that all totals are 0. */
  boolean isIdle(long now) {
    return now / slotNanos - slot >= SLOTS;
  }

  /** Expires old slots and returns the sum of a metric over the window. */
  double total(long now, Metric metric) {
    long current = now / slotNanos;
    for (long s = Math.max(slot + 1, current - SLOTS + 1); s <= current; s++) {
      for (int m = 0; m < totals.length; m++) {
        totals[m] -= slots[m][(int) (s % SLOTS)];
        slots[m][(int) (s % SLOTS)] = 0;
      }
    }
    slot = current;
    return totals[metric.ordinal()];
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
