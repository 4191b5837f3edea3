package loadbalancer.decision;

/** An exponentially decaying mean rate, corrected for the short time that it covers at first. */
final class DecayingRate {

  private static final double DECAY_NANOS = 30e9; // longer than most outages
  private double sum;
  private long firstAddedAt;
  private long lastAddedAt;

  void add(long now, double amount) {
    firstAddedAt = firstAddedAt == 0 ? now : firstAddedAt;
    sum = decayedSum(now) + amount;
    lastAddedAt = now;
  }

  /**
   * Returns the mean rate per second. The mean covers at least {@code minAgeNanos}, because a
   * shorter one would mostly reflect random variation.
   */
  double perSecond(long now, double minAgeNanos) {
    double age = Math.max(minAgeNanos, (double) (now - firstAddedAt));
    return decayedSum(now) * 1e9 / (DECAY_NANOS * (1 - Math.exp(-age / DECAY_NANOS)));
  }

  private double decayedSum(long now) {
    return sum * Math.exp((lastAddedAt - now) / DECAY_NANOS);
  }
}
