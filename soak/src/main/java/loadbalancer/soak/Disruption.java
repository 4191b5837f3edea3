package loadbalancer.soak;

/**
 * A scheduled disruption of a run.
 *
 * @param atMillis the time of its start, from the run's start
 * @param kind the kind of disruption
 * @param target selects the proxy or endpoint, modulo their number
 * @param durationMillis the duration, for kinds that last
 * @param variant selects among the variants of a kind
 */
record Disruption(
    long atMillis, DisruptionKind kind, int target, long durationMillis, int variant) {

  @Override
  public String toString() {
    return kind + " at " + atMillis + " ms for " + durationMillis + " ms, target " + target;
  }
}
