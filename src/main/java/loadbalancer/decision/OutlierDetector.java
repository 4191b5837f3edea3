package loadbalancer.decision;

import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.Idempotence;

/** Detects ejected, silent, unreliable and slow endpoints. Owns their state and the panic mode. */
final class OutlierDetector {

  private static final int FAILURES_TO_EJECT = 3; // in a row
  private static final long BASE_EJECTION_NANOS = DecisionContext.SECOND_NANOS / 2; // the first one
  private static final int MAX_DOUBLINGS = 4; // for ejections in a row: up to 8 s

  // Fraction of the ready endpoints. With more outliers, none is avoided.
  private static final double PANIC_FRACTION = 0.5;

  // An endpoint is silent after this multiple of its mean gap between responses, but not before
  // this fraction of the shortest latency objective: heavy requests cause gaps up to that length.
  private static final double SILENT_GAP_MULTIPLE = 8;
  private static final double MIN_SILENT_OBJECTIVE_FRACTION = 0.3;
  private static final int MIN_GAP_SAMPLES = 4; // responses needed to know the mean gap

  private static final double FAILURE_RATE_SMOOTHING = 0.3; // weight of one outcome
  private static final double FAILURE_RATE_DECAY_NANOS = 10e9; // towards 0, without outcomes
  private static final double MAX_FAILURE_RATE = 0.1; // for requests that cannot be sent again

  // Slowness is an endpoint's latency over the fleet's mean latency; 1 if it is unknown.
  private static final double SLOWNESS_MEAN_NANOS = 2e9; // time that the mean covers
  private static final double SLOWNESS_DECAY_NANOS = 10e9; // towards 1, without samples
  private static final double MAX_SLOWNESS_SMOOTHING = 0.3; // weight of one sample at most
  private static final double MAX_SLOWNESS = 4; // of a sample: limits the effect of a time-out

  private final DecisionContext context;
  private boolean isPanicking; // too many ready endpoints are ejected or silent
  private boolean hasFewUnreliable; // few enough ready endpoints have a high failure rate

  OutlierDetector(DecisionContext context) {
    this.context = context;
  }

  /** Returns whether an endpoint is neither ejected nor silent, or too many are. */
  boolean isAvailable(TrackedEndpoint endpoint) {
    return isPanicking || (endpoint.ejectedUntil <= context.now && !isSilent(endpoint));
  }

  /**
   * Returns whether an endpoint fails seldom enough for a request. The failure rate matters only to
   * non-idempotent requests: one of many instances sends an endpoint too few attempts to wait for
   * failures in a row, and the failures of other requests, which cost less, reveal the endpoint.
   */
  boolean isReliableFor(InFlightRequest request, TrackedEndpoint endpoint) {
    return request.type.idempotence() != Idempotence.NON_IDEMPOTENT
        || !hasFewUnreliable
        || failureRate(endpoint) < MAX_FAILURE_RATE;
  }

  /**
   * Returns whether an endpoint with attempts in flight has not responded for so long that it is
   * probably frozen or dead. This shows before an attempt times out.
   */
  boolean isSilent(TrackedEndpoint endpoint) {
    SlidingWindow responses = endpoint.responses;
    if (endpoint.attemptsInFlight <= 0
        || responses.total(context.now, Metric.SAMPLES) < MIN_GAP_SAMPLES) {
      return false;
    }
    double silenceNanos =
        SILENT_GAP_MULTIPLE * responses.mean(context.now) / endpoint.attemptsInFlight;
    double minNanos = MIN_SILENT_OBJECTIVE_FRACTION * context.shortestObjectiveNanos;
    return context.now - endpoint.lastActivityAt > Math.max(silenceNanos, minNanos);
  }

  void onSuccess(TrackedEndpoint endpoint) {
    endpoint.consecutiveFailures = 0;
    endpoint.consecutiveEjections = 0;
    updateFailureRate(endpoint, 0);
  }

  void onFailure(TrackedEndpoint endpoint) {
    updateFailureRate(endpoint, 1);
    endpoint.consecutiveFailures++;
    if (endpoint.consecutiveFailures >= FAILURES_TO_EJECT && endpoint.ejectedUntil <= context.now) {
      int doublings = Math.min(endpoint.consecutiveEjections++, MAX_DOUBLINGS);
      // Jitter, so that the instances do not all try the endpoint again at the same time.
      double jitter = 0.5 + context.random.nextDouble() / 2;
      endpoint.ejectedUntil = context.now + (long) ((BASE_EJECTION_NANOS << doublings) * jitter);
    }
  }

  void onNewIncarnation(TrackedEndpoint endpoint) {
    endpoint.consecutiveFailures = 0;
    endpoint.consecutiveEjections = 0;
    endpoint.ejectedUntil = 0;
  }

  void onSweep(TrackedEndpoint[] ready) {
    int outliers = 0;
    int unreliable = 0;
    for (TrackedEndpoint endpoint : ready) {
      outliers += endpoint.ejectedUntil > context.now || isSilent(endpoint) ? 1 : 0;
      unreliable += failureRate(endpoint) >= MAX_FAILURE_RATE ? 1 : 0;
    }
    isPanicking = outliers > PANIC_FRACTION * ready.length;
    hasFewUnreliable = unreliable <= PANIC_FRACTION * ready.length;
  }

  private double failureRate(TrackedEndpoint endpoint) {
    if (endpoint.failureRate == 0) {
      return 0; // Saves the exponential for most endpoints at each sweep.
    }
    double age = endpoint.failureRateAt - context.now;
    return endpoint.failureRate * Math.exp(age / FAILURE_RATE_DECAY_NANOS);
  }

  private void updateFailureRate(TrackedEndpoint endpoint, double outcome) {
    double kept = failureRate(endpoint) * (1 - FAILURE_RATE_SMOOTHING);
    endpoint.failureRate = kept + outcome * FAILURE_RATE_SMOOTHING;
    endpoint.failureRateAt = context.now;
  }

  double slowness(TrackedEndpoint endpoint) {
    double decay = Math.exp((endpoint.slownessAt - context.now) / SLOWNESS_DECAY_NANOS);
    return 1 + (endpoint.slowness - 1) * decay;
  }

  /** Adds a latency sample; it and the fleet's mean are in multiples of the latency objective. */
  void addLatency(TrackedEndpoint endpoint, double latency, double mean) {
    double sample = Math.min(MAX_SLOWNESS, mean > 0 ? latency / mean : Math.max(1, latency));
    double age = context.now - endpoint.slownessAt;
    double smoothing = Math.min(MAX_SLOWNESS_SMOOTHING, age / SLOWNESS_MEAN_NANOS);
    endpoint.slowness = slowness(endpoint) * (1 - smoothing) + sample * smoothing;
    endpoint.slownessAt = context.now;
  }
}
