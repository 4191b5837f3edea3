package loadbalancer.decision;

import loadbalancer.decision.SlidingWindow.Metric;

/**
 * Picks endpoints by consistent hashing with bounded loads: the first endpoint from the key's
 * position on the ring that may get the request and is below its load bound. Endpoints of the
 * instance's own zone are preferred.
 */
final class BoundedLoadBalancer {

  private static final double BOUND_SLACK = 0.5; // fraction by which a bound exceeds the mean load

  // A key with the share s of all requests tries KEY_SPREAD * (1 + s * n) endpoints of the zone,
  // where n is the number of ready endpoints.
  private static final int KEY_SPREAD = 2;

  private static final double SLOWNESS_POWER = 3; // an endpoint keeps 1 / slowness^3 of its keys

  // A request leaves the zone if even the fastest eligible endpoint there is slower than this,
  // because the zone is overloaded then.
  private static final double MAX_ZONE_SLOWNESS = 3;

  // An instance of a large group has less than one request in flight at each endpoint. With a bound
  // of 1, it would queue half of its requests.
  private static final double MIN_BOUND = 2;
  private static final double MIN_WARMING_BOUND = 1;

  // Mean latency, in latency objectives, of an endpoint at its capacity. With a lower one, an
  // endpoint without a queue would count as full.
  private static final double CAPACITY_LATENCY = AdaptiveRateLimiter.HEALTHY_LATENCY;

  // With less, an idle endpoint would get too few requests to show that its capacity is higher.
  private static final int MIN_CAPACITY = 2;
  private static final int MIN_CAPACITY_SAMPLES = 10; // responses needed to estimate a capacity

  private final DecisionContext context;
  private final EndpointRegistry registry;
  private final AdaptiveRateLimiter rateLimiter;
  private final IdempotencePolicy idempotence;
  private long pickNumber; // number of the present pick

  BoundedLoadBalancer(
      DecisionContext context, EndpointRegistry registry, AdaptiveRateLimiter rateLimiter) {
    this.context = context;
    this.registry = registry;
    this.rateLimiter = rateLimiter;
    idempotence = new IdempotencePolicy(context);
  }

  /** Returns the endpoint for a request's next attempt, or null if none may get it now. */
  TrackedEndpoint pick(InFlightRequest request) {
    String key = request.arrival.affinityKey();
    long hash =
        key == null ? context.random.nextLong() : HashRing.mix(HashRing.mix(key.hashCode()));
    int readyCount = registry.ready.length;
    HashRing.Walk walk = registry.ring.walkFrom(hash);
    double maxLocalCandidates = maxLocalCandidates(request, readyCount);
    TrackedEndpoint slowLocal = null;
    TrackedEndpoint remote = null;
    pickNumber++;
    for (int seen = 0, local = 0; seen < readyCount && local < maxLocalCandidates; ) {
      TrackedEndpoint endpoint = registry.endpointAt(walk.nextSlot());
      boolean visited = endpoint.lastPickNumber == pickNumber;
      endpoint.lastPickNumber = pickNumber;
      seen += visited ? 0 : 1;
      if (visited || !isEligible(request, endpoint)) {
        continue;
      }
      boolean belowBound = endpoint.load < bound(endpoint);
      boolean chosen = belowBound && retainsKey(endpoint, hash);
      if (!endpoint.listEntry.zone().equals(context.settings.zone())) {
        remote = remote == null && chosen ? endpoint : remote;
      } else if (chosen) {
        return endpoint;
      } else {
        slowLocal = belowBound ? faster(slowLocal, endpoint) : slowLocal;
        local++;
      }
    }
    boolean staysInZone = slowLocal != null && slowness(slowLocal) <= MAX_ZONE_SLOWNESS;
    return staysInZone || remote == null ? slowLocal : remote;
  }

  private double maxLocalCandidates(InFlightRequest request, int readyCount) {
    double spread = Math.ceil(KEY_SPREAD * readyCount * rateLimiter.keyShare(request));
    return context.settings.keyAffinity() ? KEY_SPREAD + spread : readyCount;
  }

  private boolean isEligible(InFlightRequest request, TrackedEndpoint endpoint) {
    return idempotence.canAttempt(request, endpoint, registry.ready.length)
        && registry.outliers.isAvailable(endpoint)
        && registry.slowStart.hasBudget(endpoint)
        && registry.outliers.isReliableFor(request, endpoint);
  }

  private TrackedEndpoint faster(TrackedEndpoint fastest, TrackedEndpoint endpoint) {
    return fastest == null || slowness(endpoint) < slowness(fastest) ? endpoint : fastest;
  }

  private double slowness(TrackedEndpoint endpoint) {
    return registry.outliers.slowness(endpoint);
  }

  // Returns whether an endpoint keeps a key. A slow endpoint keeps only some of its keys, because
  // with less than one request in flight at each, no load bound shows that it is overloaded. The
  // slowness that warming up explains does not count, because the slow-start budget covers it.
  private boolean retainsKey(TrackedEndpoint endpoint, long hash) {
    double scaledSlowness = slowness(endpoint) * registry.slowStart.capacityFraction(endpoint);
    return HashRing.fraction(hash, endpoint.id) * Math.pow(scaledSlowness, SLOWNESS_POWER) < 1;
  }

  // Returns the load below which an endpoint may get a request. It is scaled down for a warming
  // endpoint: the load of a warm one would keep it busy for seconds before its capacity is known.
  private double bound(TrackedEndpoint endpoint) {
    double fraction = registry.slowStart.capacityFraction(endpoint);
    double minBound = fraction < 1 ? MIN_WARMING_BOUND : MIN_BOUND;
    double scaledBound =
        fraction * (1 + BOUND_SLACK) * (registry.readyLoad + 1) / registry.ready.length;
    return Math.max(minBound, Math.min(Math.ceil(scaledBound), capacity(endpoint)));
  }

  // Estimates an endpoint's capacity by Little's law: its rate of successful responses, weighted by
  // load, times CAPACITY_LATENCY of their objectives. This limits bursts, which would queue before
  // the rate limiter sees higher latencies. The capacity of an endpoint whose first success is less
  // than a quarter of a window ago, or still to come, is unbounded until it has enough responses;
  // otherwise an endpoint that is new to this instance would be held at the minimum.
  private double capacity(TrackedEndpoint endpoint) {
    SlidingWindow responses = endpoint.responses;
    long age = context.now - endpoint.firstSuccessAt;
    boolean lacksHistory = endpoint.firstSuccessAt == 0 || age < context.windowNanos / 4;
    if (lacksHistory && responses.total(context.now, Metric.SAMPLES) < MIN_CAPACITY_SAMPLES) {
      return Double.MAX_VALUE;
    }
    long covered = Math.min(context.windowNanos / 2, Math.max(context.sweepNanos, age));
    double objectiveSum = CAPACITY_LATENCY * responses.total(context.now, Metric.OBJECTIVE_SUM);
    return Math.max(MIN_CAPACITY, objectiveSum * DecisionContext.SECOND_NANOS / covered);
  }
}
