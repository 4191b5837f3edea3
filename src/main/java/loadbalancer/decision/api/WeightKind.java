package loadbalancer.decision.api;

/** What an endpoint's weight means. */
public enum WeightKind {
  /** Nothing. */
  NONE,
  /** Its size, exactly. */
  NOMINAL,
  /** Its size, roughly. */
  ROUGH,
  /** Its size over its recent load, which differs from one list to the next. */
  LIVE;

  /** Whether a weight says, if only roughly, how large its endpoint is. */
  public boolean isSize() {
    return this == NOMINAL || this == ROUGH;
  }
}
