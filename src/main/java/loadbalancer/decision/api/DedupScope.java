package loadbalancer.decision.api;

/** The endpoints among which a repeat is recognised by its idempotency key. */
public enum DedupScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of one zone. */
  ZONE,
  /** The endpoints of one cell. */
  CELL
}
