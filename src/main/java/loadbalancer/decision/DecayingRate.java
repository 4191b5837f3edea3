package loadbalancer.decision;

/** What comes in a second, as a mean over a long time: the plain one while less than that has passed. */
final class DecayingRate {

  private final double keptNanos;
  private final double leastNanos;
  private double sum;
  private long from;
  private long at;

  /** A mean over less than {@code leastNanos} would be chance. */
  DecayingRate(double keptNanos, double leastNanos) {
    this.keptNanos = keptNanos;
    this.leastNanos = leastNanos;
  }

  void add(long now, double amount) {
    from = from == 0 ? now : from;
    sum = sum(now) + amount;
    at = now;
  }

  double perSecond(long now) {
    double age = Math.max(leastNanos, now - from);
    return sum(now) * 1e9 / (keptNanos * (1 - Math.exp(-age / keptNanos)));
  }

  private double sum(long now) {
    return sum * Math.exp((at - now) / keptNanos);
  }
}
