package loadbalancer;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The interface of the decision module: what a balancer tells it and what it asks the balancer to do.
 *
 * <p>One instance decides for one balancer. It is single-threaded: call {@link #handle} from one thread at a time,
 * events in the order in which they happened. Times and durations are nanoseconds; a clock reading has no particular
 * origin and never goes back. The module reads no clock, no environment and no random source but its seed, so the same
 * calls give the same actions.
 *
 * <p>Actions are to be carried out in the order in which they are handed over, at the clock reading of their event.
 * Every {@link StartAttempt} is owed exactly one {@link AttemptEnded}, every {@link SetTimer} one {@link TimerFired}, every
 * {@link CheckHealth} one {@link HealthCheckResult}. An exception out of {@link #handle} is a defect: drop the instance.
 */
public interface DecisionEngine {

  /** Handles one event at clock reading {@code nowNanos}; actions go to {@code out} in order. */
  void handle(long nowNanos, Event event, Consumer<Action> out);

  /** May a request of a class run again. */
  enum Idempotence { IDEMPOTENT, IDEMPOTENCY_KEY, NON_IDEMPOTENT }

  /** The upstreams that drop a repeat of a keyed request. */
  enum DedupScope { ALL, ZONE, CELL }

  /** How an attempt or a probe ended. */
  enum AttemptStatus {
    SUCCESS, ERROR, REJECTED, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_SENT;

    /** Whether this outcome proves that the attempt never ran. */
    public boolean provesNotRun() {
      return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
  }

  /** What the list says of an upstream. */
  enum EndpointState { READY, DRAINING, GONE }

  /** Changes only, the complete list, the complete list as last held (maybe stale), or a failed call. */
  enum UpdateKind { DELTA, FULL, CACHED, FAILED }

  /** What an upstream's weight means. */
  enum WeightKind { NONE, NOMINAL, ROUGH, LIVE }

  /**
   * A class of requests. An answer within {@code latencyObjectiveNanos + objectiveStretch x own work} earns {@code priorityWeight}, a later one
   * before the deadline {@code lateWeight} of it.
   */
  record RequestClass(String name, Idempotence idempotence, DedupScope dedupScope, long dedupWindowNanos, long latencyObjectiveNanos,
      double objectiveStretch, long deadlineNanos, double priorityWeight, double lateWeight, boolean streaming) {}

  /** A tenant; its quota (requests a second over all balancers) is 0 where none is stated. */
  record Tenant(String name, double share, double quotaPerSecond) {}

  /** What the deployment allows. {@code maxInFlightRequests} is the most requests one balancer holds. */
  record Limits(boolean cancellation, boolean healthChecks, boolean gossip, boolean hedging, boolean retryAfter,
      long maxRetryAfterNanos, int maxAttempts, int maxInFlightRequests, int streamsPerConnection, long connectTimeoutNanos) {}

  /** The figures of the four rules. {@code pollWithinNanos} is 0 where the list is pushed. */
  record ServiceContract(long responseSlackNanos, long pollWithinNanos, long drainGraceNanos, double initialCapacity,
      long slowStartNanos, double overloadMultiple, long overloadWindowNanos) {}

  /** Points of the result that a unit costs. */
  record Prices(double crossZone, double waste, double lateFailure) {}

  /** A balancer's settings, handed over once when the instance is made. */
  record Settings(int instanceIndex, int instanceCount, String zone, List<RequestClass> classes, List<Tenant> tenants, Limits limits,
      ServiceContract contract, Prices prices, boolean polledDiscovery, WeightKind weightKind, double overQuotaWeight,
      boolean keyAffinity, long tickNanos) {

    /** Checks what cannot make sense, naming the setting. */
    public Settings {
      check(instanceCount > 0, "group size must be above 0");
      check(!classes.isEmpty(), "classes must not be empty");
      for (RequestClass c : classes) {
        check(c.latencyObjectiveNanos > 0, "aim of class " + c.name + " must be above 0");
        check(c.deadlineNanos > 0, "deadline of class " + c.name + " must be above 0");
        check(c.dedupWindowNanos >= 0, "dedup window of class " + c.name + " must not be negative");
        check(c.priorityWeight >= 0 && c.lateWeight >= 0, "worth of class " + c.name + " must not be negative");
      }
      for (Tenant t : tenants) {
        check(t.share >= 0 && t.quotaPerSecond >= 0, "share and quota of tenant " + t.name + " must not be negative");
      }
      check(limits.maxAttempts > 0, "max attempts must be above 0");
      check(limits.maxInFlightRequests > 0, "max open must be above 0");
      check(limits.maxRetryAfterNanos >= 0, "max retry-after must not be negative");
      check(contract.responseSlackNanos >= 0, "answer slack must not be negative");
      check(contract.pollWithinNanos >= 0, "ask-within must not be negative");
      check(contract.drainGraceNanos >= 0, "drain grace must not be negative");
      check(contract.initialCapacity > 0 && contract.initialCapacity <= 1, "cold-from must be above 0 and at most 1");
      check(contract.slowStartNanos >= 0, "warm-within must not be negative");
      check(contract.overloadMultiple > 0 && contract.overloadWindowNanos >= 0, "fall figures must not be negative");
      check(tickNanos >= 0, "tick must not be negative");
    }

    private static void check(boolean ok, String what) {
      if (!ok) {
        throw new IllegalArgumentException("settings: " + what);
      }
    }
  }

  /** One line of the list. {@code startedNanos} is 0 where it started long ago; weight compares upstreams. */
  record Endpoint(long id, String zone, int cell, EndpointState state, long startedNanos, double weight) {}

  /** What happened. */
  sealed interface Event permits EndpointListUpdate, RequestArrived, ResponseStarted, AttemptEnded, ClientDisconnected, TimerFired, HealthCheckResult,
      GossipReceived {}

  /** News of the list of upstreams. An instance's first news is of kind CACHED. */
  record EndpointListUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A request came in and is owed one final answer by {@code deadlineNanos} (a clock reading). Tenant and key may be
   * null; {@code workHintNanos} is 0 where no hint came.
   */
  record RequestArrived(String requestId, String className, String tenant, String affinityKey, long deadlineNanos, long workHintNanos,
      boolean retry) implements Event {}

  /** A streamed answer has started: the request is this attempt's, without a deadline, until its outcome. */
  record ResponseStarted(String requestId, int attempt, long endpointId, long latencyNanos) implements Event {}

  /**
   * An attempt ended. {@code finished}: the request is over (the first SUCCESS ends it by itself); otherwise a final
   * answer is still owed. {@code loadReport} is the upstream's report, empty where none came.
   */
  record AttemptEnded(String requestId, int attempt, long endpointId, AttemptStatus status, long latencyNanos, boolean finished,
      Map<String, Double> loadReport) implements Event {}

  /** The client left; no answer is owed any more. */
  record ClientDisconnected(String requestId) implements Event {}

  /** A timer came due. */
  record TimerFired(String token) implements Event {}

  /** A probe ended. */
  record HealthCheckResult(long endpointId, AttemptStatus status, long latencyNanos, Map<String, Double> loadReport) implements Event {}

  /** Another balancer of the group sent a message. */
  record GossipReceived(int from, byte[] data) implements Event {}

  /** What the balancer is asked to do. */
  sealed interface Action permits StartAttempt, CancelAttempt, RejectRequest, FailRequest, SetTimer, WatchEndpoints, FetchEndpoints, CheckHealth, CloseIdleConnections, SendGossip,
      LogMessage {}

  /** Start an attempt; a request's attempts count 0, 1, 2 ... in sending order. Time-out 0: until the deadline. */
  record StartAttempt(String requestId, long endpointId, long timeoutNanos) implements Action {}

  /** Stop waiting for an attempt; whether the upstream stops is up to it. */
  record CancelAttempt(String requestId, int attempt) implements Action {}

  /** Final answer: refused, trying again does no harm. {@code retryAfterNanos} 0: no advice. */
  record RejectRequest(String requestId, long retryAfterNanos) implements Action {}

  /** Final answer: failed, with no promise. */
  record FailRequest(String requestId) implements Action {}

  /** Ask for {@link TimerFired} at a clock reading. */
  record SetTimer(String token, long atNanos) implements Action {}

  /** Subscribe to changes of the list (or stop). One ListNews answers. */
  record WatchEndpoints(boolean enabled) implements Action {}

  /** Ask once for the complete list. */
  record FetchEndpoints() implements Action {}

  /** Probe an upstream. */
  record CheckHealth(long endpointId) implements Action {}

  /** Close this balancer's idle connections to an upstream. */
  record CloseIdleConnections(long endpointId) implements Action {}

  /** Send at most 256 bytes to one balancer of the group, or to all of them (-1). */
  record SendGossip(int to, byte[] data) implements Action {}

  /** A line for the balancer's log. */
  record LogMessage(String text) implements Action {}
}
