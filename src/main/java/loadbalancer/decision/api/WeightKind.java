package loadbalancer.decision.api;

/** The meaning of an endpoint's weight. */
public enum WeightKind {
  /** The weight has no meaning. */
  NONE,
  /** The weight is the endpoint's exact size. */
  NOMINAL,
  /** The weight is the endpoint's approximate size. */
  ROUGH,
  /** The weight is the endpoint's size over its recent load, and differs between lists. */
  LIVE;

  /** Returns whether a weight states the size of its endpoint, exactly or approximately. */
  public boolean isSizeBased() {
    return this == NOMINAL || this == ROUGH;
  }
}
