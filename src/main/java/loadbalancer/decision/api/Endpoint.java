package loadbalancer.decision.api;

/**
 * One entry of the endpoint list.
 *
 * @param id the same for all incarnations of an endpoint
 * @param zone the zone it runs in
 * @param cell the part of the zone within which it may share deduplication with others
 * @param state whether it takes new work
 * @param startedNanos clock reading at which this incarnation started; 0 where that is long ago
 * @param weight compares endpoints with one another; {@link WeightKind} says how
 */
public record Endpoint(
    long id, String zone, int cell, EndpointState state, long startedNanos, double weight) {

  /** This entry, in another state. */
  public Endpoint withState(EndpointState other) {
    return new Endpoint(id, zone, cell, other, startedNanos, weight);
  }
}
