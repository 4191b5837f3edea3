package loadbalancer.decision.api;

/**
 * One entry of the endpoint list.
 *
 * @param id identifies the endpoint; all its incarnations have the same id
 * @param zone the zone it runs in
 * @param cell the subdivision of the zone it runs in; endpoints of a cell may share deduplication
 * @param state whether it accepts new requests
 * @param startedNanos clock reading at which this incarnation started; 0 if that is long ago
 * @param weight the weight relative to other endpoints; {@link WeightKind} states its meaning
 */
public record Endpoint(
    long id, String zone, int cell, EndpointState state, long startedNanos, double weight) {

  /** Returns a copy of this entry with another state. */
  public Endpoint withState(EndpointState other) {
    return new Endpoint(id, zone, cell, other, startedNanos, weight);
  }
}
