package loadbalancer.decision;

/** An exponentially decaying mean rate, corrected for the short time that it covers at first. */
final class DecayingRate {

  private static final double DECAY_NANOS = 30e9; // longer than most outages
  private double sum;
  private long firstAt;
  private long lastAt;

  void add(long now, double amount) {
    firstAt = firstAt == 0 ? now : firstAt;
    sum = sum(now) + amount;
    lastAt = now;
  }

  /**
   * Returns the mean rate per second. The mean covers at least {@code minAgeNanos}, because a
   * shorter one would mostly reflect random variation.
   */
  double perSecond(long now, double minAgeNanos) {
    double age = Math.max(minAgeNanos, (double) (now - firstAt));
    return sum(now) * 1e9 / (DECAY_NANOS * (1 - Math.exp(-age / DECAY_NANOS)));
  }

  private double sum(long now) {
    return sum * Math.exp((lastAt - now) / DECAY_NANOS);
  }
}
