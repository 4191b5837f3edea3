package loadbalancer.decision.api;

/** The state of an endpoint according to the endpoint list. */
public enum EndpointState {
  /** The endpoint accepts new requests. */
  READY,
  /** The endpoint finishes its requests and accepts no new ones. */
  DRAINING,
  /** The endpoint no longer exists. */
  GONE
}
