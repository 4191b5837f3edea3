package loadbalancer.decision.api;

/** Whether a request may run more than once. */
public enum Idempotence {
  /** Running again has no further effect. */
  IDEMPOTENT,
  /** Endpoints within a {@link DedupScope} drop a repeat, recognised by its idempotency key. */
  IDEMPOTENCY_KEY,
  /** Running again does harm. */
  NON_IDEMPOTENT
}
