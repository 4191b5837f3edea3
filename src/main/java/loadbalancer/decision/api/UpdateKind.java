package loadbalancer.decision.api;

/** The content of an update of the endpoint list. */
public enum UpdateKind {
  /** Only the entries that changed. */
  DELTA,
  /** The complete list. */
  FULL,
  /** The last known complete list, which may be stale. */
  CACHED,
  /** No entries: the poll or the watch failed. */
  FAILED
}
