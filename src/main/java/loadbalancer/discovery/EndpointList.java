package loadbalancer.discovery;

import java.net.SocketAddress;
import java.util.List;
import loadbalancer.decision.api.EndpointState;

/**
 * A message of discovery: the endpoint list or changes to it.
 *
 * @param revision the version that the list has with this message; 0 if none is stated
 * @param complete whether {@code members} are all endpoints; otherwise they are those that changed
 * @param members the endpoints
 */
public record EndpointList(long revision, boolean complete, List<Member> members) {

  /** The list of nobody. */
  public static final EndpointList EMPTY = new EndpointList(0, true, List.of());

  /**
   * One endpoint.
   *
   * @param id its name, the same for all its incarnations
   * @param address where it listens
   * @param zone the zone it runs in
   * @param cell the part of the zone within which it may share deduplication with others
   * @param state whether it takes new work
   * @param weight compares endpoints with one another
   * @param upSinceMillis Unix time at which this incarnation started, in ms; 0 for long ago
   */
  public record Member(
      String id,
      SocketAddress address,
      String zone,
      int cell,
      EndpointState state,
      double weight,
      long upSinceMillis) {

    /** Whether another one with the same name is another process, or the same one moved. */
    boolean isDifferentIncarnation(Member other) {
      return upSinceMillis != other.upSinceMillis || !address.equals(other.address);
    }
  }
}
