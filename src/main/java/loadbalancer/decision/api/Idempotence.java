package loadbalancer.decision.api;

/** Whether a request may run more than once. */
public enum Idempotence {
  /** A second run has no further effect. */
  IDEMPOTENT,
  /** The endpoints of a {@link DedupScope} recognise and drop a repeat by its idempotency key. */
  IDEMPOTENCY_KEY,
  /** A second run does harm. */
  NON_IDEMPOTENT
}
