package loadbalancer.decision.api;

/** What an update of the endpoint list holds. */
public enum UpdateKind {
  /** The entries that changed. */
  DELTA,
  /** The complete list. */
  FULL,
  /** The complete list as last known, possibly stale. */
  CACHED,
  /** Nothing: the poll or the watch failed. */
  FAILED
}
