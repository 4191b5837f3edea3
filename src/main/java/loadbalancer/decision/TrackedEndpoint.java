package loadbalancer.decision;

import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;

/** The state of an endpoint, grouped by the component that writes it. */
final class TrackedEndpoint {

  // EndpointRegistry
  final long id;
  Endpoint listEntry;
  long startedAt; // start of the present incarnation; 0 if long ago
  int attemptsInFlight;
  double load; // of the attempts in flight, in mean requests
  HashRing.Member ringMember; // null while it is not on the ring
  long lastActivityAt; // last end of an attempt, or start of one with no other in flight

  // OutcomeRecorder
  final SlidingWindow responses; // successful ones; latencies in nanoseconds times load
  long firstSuccessAt; // 0 before the first

  // OutlierDetector
  int consecutiveFailures;
  int consecutiveEjections;
  long ejectedUntil;
  double failureRate;
  long failureRateAt;
  double slowness = 1;
  long slownessAt;

  final TokenBucket slowStartBudget = new TokenBucket(); // SlowStart
  long lastPickNumber; // BoundedLoadBalancer: the last pick that considered it

  TrackedEndpoint(long id, DecisionContext context) {
    this.id = id;
    responses = new SlidingWindow(context.windowNanos / 2, context.now);
  }

  boolean isReady() {
    return listEntry.state() == EndpointState.READY;
  }
}
