package loadbalancer.decision.api;

/** The endpoints that recognise a repeated request by its idempotency key. */
public enum DedupScope {
  /** All endpoints. */
  ALL,
  /** The endpoints of one zone. */
  ZONE,
  /** The endpoints of one cell. */
  CELL
}
