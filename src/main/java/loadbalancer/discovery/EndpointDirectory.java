package loadbalancer.discovery;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointList.Member;
import loadbalancer.net.MonotonicClock;

/**
 * The endpoints as discovery last named them: ids, addresses and states. Owned by the event loop;
 * no other thread may use it.
 */
public final class EndpointDirectory {

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final MonotonicClock clock;
  private final Map<String, Long> idsByName = new HashMap<>();
  private final Map<Long, Member> membersById = new LinkedHashMap<>();
  private final List<Long> restartedEndpoints = new ArrayList<>();
  private long revision;

  /** An empty directory; {@code clock} translates the endpoints' start times. */
  public EndpointDirectory(MonotonicClock clock) {
    this.clock = clock;
  }

  /** The version of the list that was last accepted. */
  public long revision() {
    return revision;
  }

  /** Where an endpoint listens; null for one that is not on the list. */
  public SocketAddress address(long endpointId) {
    Member member = membersById.get(endpointId);
    return member == null ? null : member.address();
  }

  /** An endpoint's name on the list; its id in hex for one that is not on it. */
  public String name(long endpointId) {
    Member member = membersById.get(endpointId);
    return member == null ? Long.toHexString(endpointId) : member.id();
  }

  /** Whether an endpoint is on the list and ready. */
  public boolean isReady(long endpointId) {
    Member member = membersById.get(endpointId);
    return member != null && member.state() == EndpointState.READY;
  }

  /** Whether any endpoint is ready. */
  public boolean hasReady() {
    for (Member member : membersById.values()) {
      if (member.state() == EndpointState.READY) {
        return true;
      }
    }
    return false;
  }

  /**
   * Accepts a list, or changes to it, unless it is outdated or empty.
   *
   * @param kind what the list holds
   * @return the update as the decision engine gets it; one without changes if it was not accepted
   */
  public EndpointListUpdate apply(UpdateKind kind, EndpointList list) {
    restartedEndpoints.clear();
    if (!isAcceptable(kind, list)) {
      return new EndpointListUpdate(UpdateKind.DELTA, List.of());
    }
    revision = list.revision();
    Map<Long, Member> previous = new HashMap<>(membersById);
    if (kind != UpdateKind.DELTA) {
      membersById.clear();
    }
    List<Endpoint> endpoints = new ArrayList<>();
    for (Member member : list.members()) {
      long id = idsByName.computeIfAbsent(member.id(), this::newId);
      endpoints.add(endpoint(id, member));
      put(id, member, previous.get(id));
    }
    // An endpoint that left gets the same id if it returns; until then nothing is stored for it.
    idsByName.values().retainAll(membersById.keySet());
    return new EndpointListUpdate(kind, endpoints);
  }

  private void put(long id, Member member, Member previous) {
    if (previous != null && member.isOtherIncarnation(previous)) {
      restartedEndpoints.add(id);
    }
    if (member.state() == EndpointState.GONE) {
      membersById.remove(id);
    } else {
      membersById.put(id, member);
    }
  }

  /** Endpoints that, by the last call of {@link #apply}, are another incarnation than before. */
  public List<Long> restartedEndpoints() {
    return restartedEndpoints;
  }

  /**
   * Whether a list may replace the present one. A discovery that lags sends older versions, which
   * would bring back endpoints that have gone; one that has just lost its list sends an empty one,
   * without which the endpoints are still served. A list without a version is never outdated.
   */
  private boolean isAcceptable(UpdateKind kind, EndpointList list) {
    boolean outdated = list.revision() > 0 && list.revision() < revision;
    boolean empties =
        kind != UpdateKind.DELTA && list.members().isEmpty() && !membersById.isEmpty();
    return !outdated && !empties;
  }

  /** The list as it was last accepted, for a decision engine that starts anew. */
  public EndpointListUpdate snapshot() {
    List<Endpoint> endpoints = new ArrayList<>();
    membersById.forEach((id, member) -> endpoints.add(endpoint(id, member)));
    return new EndpointListUpdate(UpdateKind.CACHED, endpoints);
  }

  /**
   * The id of a name that has none. Ids decide which keys an endpoint serves, and every instance,
   * also after a restart, has to place the same keys alike; so they are computed from the name
   * alone, by 64-bit FNV-1a. Two names with one hash are told apart by the order of their arrival.
   */
  private long newId(String name) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < name.length(); i++) {
      hash = (hash ^ name.charAt(i)) * FNV_PRIME;
    }
    while (idsByName.containsValue(hash)) {
      hash++;
    }
    return hash;
  }

  private Endpoint endpoint(long id, Member member) {
    return new Endpoint(
        id,
        member.zone(),
        member.cell(),
        member.state(),
        clock.nanosAtUnixMillis(member.upSinceMillis()),
        member.weight());
  }
}
