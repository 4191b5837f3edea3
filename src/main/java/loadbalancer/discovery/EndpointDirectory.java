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
 * The endpoints of the last accepted complete list with all later accepted deltas applied, with
 * their ids, addresses and states. Confined to the event loop.
 */
public final class EndpointDirectory {

  /**
   * The time after which a complete list with an older revision is accepted. If discovery still
   * sends older revisions by then, it has restarted its revision counter; a replica that merely
   * lagged has caught up.
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

  /** The time at which discovery first sent an older revision, if {@link #isDiscoveryBehind}. */
  private long behindSinceNanos;

  private boolean isDiscoveryBehind;

  /** The time of the last accepted list or delta from discovery; 0 if there is none yet. */
  private long lastUpdateNanos;

  /**
   * A listed endpoint.
   *
   * @param notBeforeNanos a lower bound for the start of this incarnation: the time of the last
   *     update before the one that first listed it; 0 if there was none
   */
  private record Listing(Member member, long notBeforeNanos) {}

  /** Creates an empty directory whose start times are readings of {@code clock}. */
  public EndpointDirectory(MonotonicClock clock) {
    this.clock = clock;
  }

  /**
   * Returns the revision of the last accepted list. While discovery is behind it, returns 0, which
   * requests the complete list.
   */
  public long revision() {
    return isDiscoveryBehind ? 0 : revision;
  }

  /**
   * Returns whether the last list from discovery was rejected as outdated. A complete list is
   * accepted once discovery has been behind for some seconds, so one must be requested then.
   */
  public boolean isDiscoveryBehind() {
    return isDiscoveryBehind;
  }

  /** Returns the address of an endpoint, or null if it is not listed. */
  public SocketAddress address(long endpointId) {
    Listing listing = listingsById.get(endpointId);
    return listing == null ? null : listing.member().address();
  }

  /** Returns the name of an endpoint, or its id in hexadecimal if it is not listed. */
  public String name(long endpointId) {
    Listing listing = listingsById.get(endpointId);
    return listing == null ? Long.toHexString(endpointId) : listing.member().id();
  }

  /** Returns whether an endpoint is listed and ready. */
  public boolean isReady(long endpointId) {
    Listing listing = listingsById.get(endpointId);
    return listing != null && listing.member().state() == EndpointState.READY;
  }

  /** Returns the number of listed endpoints, whatever their states. */
  public int size() {
    return listingsById.size();
  }

  /** Returns the number of listed endpoints that are ready. */
  public int readyCount() {
    int count = 0;
    for (Listing listing : listingsById.values()) {
      if (listing.member().state() == EndpointState.READY) {
        count++;
      }
    }
    return count;
  }

  /** Returns whether at least one endpoint is ready. */
  public boolean hasReadyEndpoint() {
    return readyCount() > 0;
  }

  /**
   * Applies a complete list or a delta unless it is outdated. An endpoint that a complete list
   * omits is gone, also if the list has no members at all.
   *
   * @param kind how the list was obtained, and whether it is complete
   * @return the update for the decision engine; a delta without changes if the list was rejected
   */
  public EndpointListUpdate apply(UpdateKind kind, EndpointList list) {
    restartedEndpoints.clear();
    long now = clock.nowNanos();
    if (!checkAcceptable(list, now)) {
      return new EndpointListUpdate(UpdateKind.DELTA, List.of());
    }
    revision = list.revision();
    boolean isDelta = kind == UpdateKind.DELTA;
    Map<Long, Listing> previous = isDelta ? listingsById : new HashMap<>(listingsById);
    if (!isDelta) {
      listingsById.clear();
    }
    // All start times are observed first: the latest one determines the ages of all endpoints.
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

  /**
   * Removes the stored ids of names that are no longer listed. Ids are derived from names, so an
   * endpoint that returns gets the same id.
   */
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

  /** Returns the ids of the endpoints that have restarted according to the last applied list. */
  public List<Long> restartedEndpoints() {
    return restartedEndpoints;
  }

  /**
   * Returns whether a list may be applied, and records whether discovery is behind.
   *
   * <p>A lagging discovery sends older revisions, which would bring back endpoints that are gone. A
   * complete one is accepted once discovery has been behind for {@link #MAX_LAG_NANOS}. A list
   * without a revision is never outdated.
   */
  private boolean checkAcceptable(EndpointList list, long now) {
    boolean isOutdated = list.revision() > 0 && list.revision() < revision;
    if (isOutdated && !isDiscoveryBehind) {
      behindSinceNanos = now;
    }
    isDiscoveryBehind = isOutdated && !(list.complete() && now - behindSinceNanos >= MAX_LAG_NANOS);
    return !isDiscoveryBehind;
  }

  /** Returns all listed endpoints as a cached update, for a newly created decision engine. */
  public EndpointListUpdate snapshot() {
    long now = clock.nowNanos();
    List<Endpoint> endpoints = new ArrayList<>();
    listingsById.forEach((id, listing) -> endpoints.add(endpoint(id, listing, now)));
    return new EndpointListUpdate(UpdateKind.CACHED, endpoints);
  }

  /**
   * Returns a new id for a name. Ids determine which keys an endpoint serves, and all instances
   * must agree on this, also after a restart. Therefore the id is the 64-bit FNV-1a hash of the
   * name. If two names have the same hash, the one that is listed later gets the next free id.
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
