package loadbalancer.decision.api;

/** What an endpoint's weight means. */
public enum WeightKind {
  /** Nothing. */
  NONE,
  /** Its size, exactly. */
  NOMINAL,
  /** Its size, roughly. */
  ROUGH,
  /** Its present state, which changes while it runs. */
  LIVE
}
