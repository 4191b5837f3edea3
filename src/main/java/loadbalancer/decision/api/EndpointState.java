package loadbalancer.decision.api;

/** What the endpoint list says of an endpoint. */
public enum EndpointState {
  /** Takes new work. */
  READY,
  /** Finishes what it has and takes no new work. */
  DRAINING,
  /** No longer there. */
  GONE
}
