package loadbalancer.discovery;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
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

  /**
   * A discovery that keeps to older versions for so long has begun to count anew, as after a
   * restart. One that lags behind has caught up by then.
   */
  private static final long MAX_LAG_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private final MonotonicClock clock;
  private final Map<String, Long> idsByName = new HashMap<>();
  private final Set<Long> idsInUse = new HashSet<>();
  private final Map<Long, Listing> listingsById = new LinkedHashMap<>();
  private final List<Long> restartedEndpoints = new ArrayList<>();
  private final StartTimeEstimator startTimes = new StartTimeEstimator();
  private long revision;

  /** Since when discovery has sent nothing but older versions, if {@link #isDiscoveryBehind}. */
  private long behindSinceNanos;

  private boolean isDiscoveryBehind;

  /** When discovery last sent a list or changes; 0 if it has not yet. */
  private long lastUpdateNanos;

  /**
   * A listed endpoint.
   *
   * @param notBeforeNanos a time before which this incarnation has not started: that of the update
   *     before the one that first had it; 0 where there was none
   */
  private record Listing(Member member, long notBeforeNanos) {}

  /** An empty directory; {@code clock} is the one that start times are given on. */
  public EndpointDirectory(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * The version of the list that was last accepted; 0, which asks for the complete list, while
   * discovery is behind it.
   */
  public long revision() {
    return isDiscoveryBehind ? 0 : revision;
  }

  /**
   * Whether discovery's last list was refused as outdated. Its complete list is accepted once it
   * has been behind for some seconds, so it has to be asked for that again.
   */
  public boolean isDiscoveryBehind() {
    return isDiscoveryBehind;
  }

  /** Where an endpoint listens; null for one that is not on the list. */
  public SocketAddress address(long endpointId) {
    Listing listing = listingsById.get(endpointId);
    return listing == null ? null : listing.member().address();
  }

  /** An endpoint's name on the list; its id in hex for one that is not on it. */
  public String name(long endpointId) {
    Listing listing = listingsById.get(endpointId);
    return listing == null ? Long.toHexString(endpointId) : listing.member().id();
  }

  /** Whether an endpoint is on the list and ready. */
  public boolean isReady(long endpointId) {
    Listing listing = listingsById.get(endpointId);
    return listing != null && listing.member().state() == EndpointState.READY;
  }

  /** Whether any endpoint is ready. */
  public boolean hasReadyEndpoint() {
    for (Listing listing : listingsById.values()) {
      if (listing.member().state() == EndpointState.READY) {
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
    long now = clock.nowNanos();
    if (!isAcceptable(kind, list, now)) {
      return new EndpointListUpdate(UpdateKind.DELTA, List.of());
    }
    revision = list.revision();
    boolean isDelta = kind == UpdateKind.DELTA;
    Map<Long, Listing> previous = isDelta ? listingsById : new HashMap<>(listingsById);
    if (!isDelta) {
      listingsById.clear();
    }
    // All of them first: the ages of the others follow from the latest start.
    list.members().forEach(member -> startTimes.observe(member.upSinceMillis(), now));
    List<Endpoint> endpoints = new ArrayList<>();
    for (Member member : list.members()) {
      long id = idsByName.computeIfAbsent(member.id(), this::newId);
      Listing listing = put(id, member, previous.get(id));
      endpoints.add(endpoint(id, listing, now));
    }
    lastUpdateNanos = kind == UpdateKind.CACHED ? lastUpdateNanos : now;
    removeDeparted(isDelta ? names(list) : List.copyOf(idsByName.keySet()));
    return new EndpointListUpdate(kind, endpoints);
  }

  private static List<String> names(EndpointList list) {
    return list.members().stream().map(Member::id).toList();
  }

  /** An endpoint that left gets the same id if it returns; until then nothing is stored for it. */
  private void removeDeparted(List<String> names) {
    for (String name : names) {
      Long id = idsByName.get(name);
      if (id != null && !listingsById.containsKey(id)) {
        idsByName.remove(name);
        idsInUse.remove(id);
      }
    }
  }

  private Listing put(long id, Member member, Listing previous) {
    boolean hasRestarted = previous != null && member.isDifferentIncarnation(previous.member());
    if (hasRestarted) {
      restartedEndpoints.add(id);
    }
    boolean isNew = previous == null || hasRestarted;
    Listing listing = new Listing(member, isNew ? lastUpdateNanos : previous.notBeforeNanos());
    if (member.state() == EndpointState.GONE) {
      listingsById.remove(id);
    } else {
      listingsById.put(id, listing);
    }
    return listing;
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
  private boolean isAcceptable(UpdateKind kind, EndpointList list, long now) {
    boolean isOutdated = list.revision() > 0 && list.revision() < revision;
    if (isOutdated && !isDiscoveryBehind) {
      behindSinceNanos = now;
    }
    isDiscoveryBehind = isOutdated && !(list.complete() && now - behindSinceNanos >= MAX_LAG_NANOS);
    boolean wouldEmptyList =
        kind != UpdateKind.DELTA && list.members().isEmpty() && !listingsById.isEmpty();
    return !isDiscoveryBehind && !wouldEmptyList;
  }

  /** The list as it was last accepted, for a decision engine that starts anew. */
  public EndpointListUpdate snapshot() {
    long now = clock.nowNanos();
    List<Endpoint> endpoints = new ArrayList<>();
    listingsById.forEach((id, listing) -> endpoints.add(endpoint(id, listing, now)));
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
    while (!idsInUse.add(hash)) {
      hash++;
    }
    return hash;
  }

  private Endpoint endpoint(long id, Listing listing, long now) {
    Member member = listing.member();
    return new Endpoint(
        id,
        member.zone(),
        member.cell(),
        member.state(),
        startTimes.startedNanos(member.upSinceMillis(), listing.notBeforeNanos(), now),
        member.weight());
  }
}
