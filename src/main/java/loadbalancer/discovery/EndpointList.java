package loadbalancer.discovery;

import java.net.SocketAddress;
import java.util.List;
import loadbalancer.decision.api.EndpointState;

/**
 * The complete endpoint list or changes to it, as discovery sends it or the configuration file
 * states it.
 *
 * @param revision the revision of the list, including these changes; 0 if none is stated
 * @param complete true if {@code members} are all endpoints, false if they are the changed ones
 * @param members the endpoints
 */
public record EndpointList(long revision, boolean complete, List<Member> members) {

  /** A complete list without endpoints and without a revision. */
  public static final EndpointList EMPTY = new EndpointList(0, true, List.of());

  /**
   * One endpoint.
   *
   * @param id the name of the endpoint, which all its incarnations share
   * @param address the address on which it listens
   * @param zone the zone in which it runs
   * @param cell the subdivision of the zone in which it runs; endpoints of a cell may share
   *     deduplication of requests
   * @param state whether it accepts new requests
   * @param weight its weight relative to the other endpoints
   * @param upSinceMillis the Unix time at which this incarnation started, in ms; 0 for a start long
   *     ago
   */
  public record Member(
      String id,
      SocketAddress address,
      String zone,
      int cell,
      EndpointState state,
      double weight,
      long upSinceMillis) {

    /**
     * Returns whether this entry differs from {@code other}, which has the same name, in its start
     * time or its address, and so denotes a different process.
     */
    boolean isDifferentIncarnation(Member other) {
      return upSinceMillis != other.upSinceMillis || !address.equals(other.address);
    }
  }
}
