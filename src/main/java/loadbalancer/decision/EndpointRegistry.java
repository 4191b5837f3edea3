package loadbalancer.decision;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.UpdateKind;

/** Tracks the endpoint list. Owns the endpoints, their loads, and the ring of the ready ones. */
final class EndpointRegistry {

  // Points of an endpoint of median weight. With 100, its share of the keys varies by about 10%.
  private static final int POINTS_PER_ENDPOINT = 100;
  private static final double MAX_WEIGHT = 4; // in median weights; the minimum is the inverse

  // Other components read these fields; only this class changes them.
  TrackedEndpoint[] ready = {}; // the members of the ring, sorted by id
  final HashRing ring = new HashRing();
  double readyLoad; // load of the attempts in flight at ready endpoints, in mean requests

  final OutlierDetector outliers;
  final SlowStart slowStart;

  private final DecisionContext context;
  private final Map<Long, TrackedEndpoint> endpoints = new LinkedHashMap<>();

  // Endpoints that are gone, but still have attempts in flight.
  private final Set<TrackedEndpoint> departing = new LinkedHashSet<>();

  private final List<TrackedEndpoint> bySlot = new ArrayList<>(); // null at a free slot
  private double medianWeight; // 0 before the first ready endpoint

  EndpointRegistry(DecisionContext context) {
    this.context = context;
    outliers = new OutlierDetector(context);
    slowStart = new SlowStart(context);
  }

  /** Applies an update of any kind but {@link UpdateKind#FAILED}. */
  void apply(Event.EndpointListUpdate update) {
    Map<Long, Endpoint> entries = new LinkedHashMap<>();
    update.endpoints().forEach(entry -> entries.put(entry.id(), entry));
    if (update.kind() != UpdateKind.DELTA) {
      // An endpoint that is absent from a complete list is gone.
      for (TrackedEndpoint endpoint : endpoints.values()) {
        entries.putIfAbsent(endpoint.id, endpoint.listEntry.withState(EndpointState.GONE));
      }
    }
    List<TrackedEndpoint> updated = entries.values().stream().map(this::track).toList();
    departing.removeIf(this::removeIfDeparted);
    updateRing(updated);
  }

  private TrackedEndpoint track(Endpoint entry) {
    TrackedEndpoint endpoint =
        endpoints.computeIfAbsent(entry.id(), id -> new TrackedEndpoint(id, context));
    if (entry.startedNanos() > endpoint.startedAt) {
      endpoint.startedAt = entry.startedNanos();
      outliers.onNewIncarnation(endpoint);
      slowStart.onNewIncarnation(endpoint);
    } else if (entry.startedNanos() > 0) {
      // The same incarnation, whose start is now known to be earlier.
      endpoint.startedAt = entry.startedNanos();
    }
    endpoint.listEntry = entry;
    if (entry.state() == EndpointState.GONE) {
      departing.add(endpoint);
    }
    return endpoint;
  }

  /**
   * Returns whether an endpoint ceases to be departing: it is listed again, or it has nothing in
   * flight. In the latter case it is removed from the registry.
   */
  private boolean removeIfDeparted(TrackedEndpoint endpoint) {
    boolean listedAgain = endpoint.listEntry.state() != EndpointState.GONE;
    if (!listedAgain && endpoint.attemptsInFlight == 0) {
      endpoints.remove(endpoint.id);
    }
    return listedAgain || endpoint.attemptsInFlight == 0;
  }

  private void updateRing(List<TrackedEndpoint> updated) {
    List<TrackedEndpoint> joining = new ArrayList<>();
    List<HashRing.Member> leaving = new ArrayList<>();
    for (TrackedEndpoint endpoint : updated) {
      boolean onRing = endpoint.ringMember != null;
      if (endpoint.isReady() && !onRing) {
        joining.add(endpoint);
      } else if (!endpoint.isReady() && onRing) {
        leaving.add(endpoint.ringMember);
        bySlot.set(endpoint.ringMember.slot(), null);
        endpoint.ringMember = null;
      }
    }
    if (joining.isEmpty() && leaving.isEmpty()) {
      // Most updates leave the members as they are. A changed weight waits until they change.
      return;
    }
    TrackedEndpoint[] staying =
        Arrays.stream(ready).filter(TrackedEndpoint::isReady).toArray(TrackedEndpoint[]::new);
    ready =
        Stream.concat(Arrays.stream(staying), joining.stream())
            .sorted(Comparator.comparingLong(e -> e.id))
            .toArray(TrackedEndpoint[]::new);
    readyLoad = Arrays.stream(ready).mapToDouble(e -> e.load).sum();
    slowStart.onSweep(ready);
    setMedianWeight();
    changeRing(leaving, joining, staying);
  }

  private void setMedianWeight() {
    if (medianWeight == 0 && ready.length > 0) {
      // Set only once, so that an update moves only the keys of the endpoints that it changes.
      double[] weights = Arrays.stream(ready).mapToDouble(e -> e.listEntry.weight()).toArray();
      Arrays.sort(weights);
      medianWeight = weights[ready.length / 2];
    }
  }

  private void changeRing(
      List<HashRing.Member> leaving, List<TrackedEndpoint> joining, TrackedEndpoint[] staying) {
    List<HashRing.Member> members = new ArrayList<>();
    for (TrackedEndpoint endpoint : staying) {
      if (pointCount(endpoint) != endpoint.ringMember.points()) {
        leaving.add(endpoint.ringMember);
        members.add(joinRing(endpoint, endpoint.ringMember.slot()));
      }
    }
    for (TrackedEndpoint endpoint : joining) {
      members.add(joinRing(endpoint, freeSlot()));
    }
    ring.update(leaving, members);
  }

  private HashRing.Member joinRing(TrackedEndpoint endpoint, int slot) {
    bySlot.set(slot, endpoint);
    endpoint.ringMember = new HashRing.Member(slot, endpoint.id, pointCount(endpoint));
    return endpoint.ringMember;
  }

  private int freeSlot() {
    int slot = bySlot.indexOf(null);
    if (slot >= 0) {
      return slot;
    }
    bySlot.add(null);
    return bySlot.size() - 1;
  }

  /** Returns the endpoint that has a slot of the ring. */
  TrackedEndpoint endpointAt(int slot) {
    return bySlot.get(slot);
  }

  private int pointCount(TrackedEndpoint endpoint) {
    boolean weighted = context.settings.weightKind().isSizeBased();
    double weight = weighted && medianWeight > 0 ? endpoint.listEntry.weight() / medianWeight : 1;
    return (int)
        Math.round(POINTS_PER_ENDPOINT * Math.min(MAX_WEIGHT, Math.max(1 / MAX_WEIGHT, weight)));
  }

  void onAttemptStarted(TrackedEndpoint endpoint, double load) {
    endpoint.lastActivityAt =
        endpoint.attemptsInFlight == 0 ? context.now : endpoint.lastActivityAt;
    endpoint.attemptsInFlight++;
    endpoint.load += load;
    readyLoad += load;
    slowStart.onAttemptStarted(endpoint, ready.length);
  }

  void onAttemptEnded(TrackedEndpoint endpoint, double load) {
    endpoint.attemptsInFlight--;
    // Reset to 0 when nothing is in flight, so that rounding errors do not accumulate.
    endpoint.load = endpoint.attemptsInFlight == 0 ? 0 : endpoint.load - load;
    endpoint.lastActivityAt = context.now;
    readyLoad -= endpoint.isReady() ? load : 0;
  }
}
