package loadbalancer.decision;

/** A mean rate that decays exponentially, and is a plain mean at first. */
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

  /** Events a second, over no less than {@code minAgeNanos}: a mean over less would be chance. */
  double perSecond(long now, double minAgeNanos) {
    double age = Math.max(minAgeNanos, (double) (now - firstAt));
    return sum(now) * 1e9 / (DECAY_NANOS * (1 - Math.exp(-age / DECAY_NANOS)));
  }

  private double sum(long now) {
    return sum * Math.exp((lastAt - now) / DECAY_NANOS);
  }
}
