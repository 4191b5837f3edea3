package loadbalancer.decision;

import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event;

/** Records the outcomes of attempts in the statistics of their endpoints and of the fleet. */
record OutcomeRecorder(
    DecisionContext context, AdaptiveRateLimiter rateLimiter, OutlierDetector outliers) {

  // Latency that is recorded for rejected and late attempts.
  private static final double MAX_LATENCY = Double.MAX_VALUE;

  void record(InFlightRequest request, Attempt attempt, Event.AttemptEnded end) {
    AttemptStatus status = end.status();
    if (status == AttemptStatus.SUCCESS) {
      recordSuccess(request, attempt.endpoint, end.latencyNanos());
    } else if (status == AttemptStatus.REJECTED) {
      outliers.addLatency(attempt.endpoint, MAX_LATENCY, rateLimiter.fleetMeanLatency());
    } else if (status != AttemptStatus.CANCELLED && status != AttemptStatus.NOT_SENT) {
      recordFailure(request, attempt, status == AttemptStatus.TIMEOUT);
    }
  }

  private void recordSuccess(InFlightRequest request, TrackedEndpoint endpoint, long latency) {
    long now = context.now;
    long objective = request.type.latencyObjectiveNanos();
    outliers.onSuccess(endpoint);
    endpoint.firstSuccessAt = endpoint.firstSuccessAt == 0 ? now : endpoint.firstSuccessAt;
    endpoint.responses.add(now, Metric.OBJECTIVE_SUM, request.load * objective / 1e9);
    endpoint.responses.addSample(now, request.load * latency);
    outliers.addLatency(endpoint, (double) latency / objective, rateLimiter.fleetMeanLatency());
    rateLimiter.addSample(request, (double) (now - request.arrivedAt) / objective);
  }

  private void recordFailure(InFlightRequest request, Attempt attempt, boolean timedOut) {
    long objective = request.type.latencyObjectiveNanos();
    double deadline = (double) request.type.deadlineNanos() / objective;
    double latency = (double) (context.now - request.arrivedAt) / objective;
    // A time-out before the objective is due to the client's short deadline, not to the endpoint.
    boolean earlyTimeout = timedOut && context.now - attempt.startedAt < objective;
    // A time-out counts as the class's deadline. Other failures count as at least the mean latency,
    // or quick ones would lower it; if they counted as the deadline, a few resets would cause the
    // rejection of requests that other endpoints could serve.
    boolean countsAsDeadline = timedOut && !earlyTimeout;
    rateLimiter.addSample(
        request,
        countsAsDeadline ? deadline : Math.max(latency, rateLimiter.worseMeanLatency(request)));
    if (!earlyTimeout) {
      outliers.addLatency(attempt.endpoint, deadline, rateLimiter.fleetMeanLatency());
      outliers.onFailure(attempt.endpoint);
    }
  }

  /** Records attempts as slow that are in flight past the objective, before they time out. */
  void recordLateAttempts(InFlightRequest request) {
    for (Attempt attempt : request.attempts) {
      long age = context.now - attempt.startedAt;
      if (attempt.inFlight && !attempt.late && age > request.type.latencyObjectiveNanos()) {
        attempt.late = true;
        outliers.addLatency(attempt.endpoint, MAX_LATENCY, rateLimiter.fleetMeanLatency());
      }
    }
  }
}
