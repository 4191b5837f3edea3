package loadbalancer.decision;

/** Counts and sums over the last window of time. */
@SuppressWarnings("EnumOrdinal") // Arrays by metric: maps would cost more, in thousands of windows.
final class SlidingWindow {

  /** What a window adds up. */
  enum Metric {
    OFFERED, // requests that arrived
    ADMITTED, // requests that were admitted
    SAMPLES, // latencies measured
    LATENCY_SUM, // their sum
    OBJECTIVE_SUM // the latency objectives of successful responses, in seconds, times their loads
  }

  private static final int SLOTS = 12; // steps in which a window forgets

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

  /** Whether all that was added is forgotten. */
  boolean isIdle(long now) {
    return now / slotNanos - slot >= SLOTS;
  }

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

  /** A count's rate a second less one standard deviation: what chance alone seldom reaches. */
  double lowRate(long now, Metric metric) {
    double count = total(now, metric);
    return (count - Math.sqrt(count)) * 1e9 / (slotNanos * SLOTS);
  }

  /** Mean of the samples; 0, which counts as healthy, where there are none. */
  double mean(long now) {
    double samples = total(now, Metric.SAMPLES);
    return samples < 0.5 ? 0 : total(now, Metric.LATENCY_SUM) / samples;
  }
}
