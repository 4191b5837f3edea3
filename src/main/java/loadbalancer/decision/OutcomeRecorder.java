package loadbalancer.decision;

import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event;

/** Records the outcomes of attempts in the statistics of their endpoints and of the fleet. */
record OutcomeRecorder(
    DecisionContext context, AdaptiveRateLimiter limiter, OutlierDetector outliers) {

  private static final double MAX_LATENCY = Double.MAX_VALUE; // of attempts rejected or late

  void record(InFlightRequest request, Attempt attempt, Event.AttemptEnded end) {
    AttemptStatus status = end.status();
    if (status == AttemptStatus.SUCCESS) {
      recordSuccess(request, attempt.endpoint, end.latencyNanos());
    } else if (status == AttemptStatus.REJECTED) {
      outliers.addLatency(attempt.endpoint, MAX_LATENCY, limiter.fleetMeanLatency());
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
    outliers.addLatency(endpoint, (double) latency / objective, limiter.fleetMeanLatency());
    limiter.addSample(request, (double) (now - request.arrivedAt) / objective);
  }

  private void recordFailure(InFlightRequest request, Attempt attempt, boolean isTimeout) {
    long objective = request.type.latencyObjectiveNanos();
    double deadline = (double) request.type.deadlineNanos() / objective;
    double latency = (double) (context.now - request.arrivedAt) / objective;
    // A time-out before the objective is due to the client's short deadline, not to the endpoint.
    boolean isEarlyTimeout = isTimeout && context.now - attempt.startedAt < objective;
    // A time-out counts as the class's deadline. Other failures count as at least the mean latency,
    // or quick ones would lower it; if they counted as the deadline, a few resets would cause the
    // rejection of requests that other endpoints could serve.
    boolean countsAsDeadline = isTimeout && !isEarlyTimeout;
    limiter.addSample(
        request,
        countsAsDeadline ? deadline : Math.max(latency, limiter.worseMeanLatency(request)));
    if (!isEarlyTimeout) {
      outliers.addLatency(attempt.endpoint, deadline, limiter.fleetMeanLatency());
      outliers.onFailure(attempt.endpoint);
    }
  }

  /** Records attempts in flight past the objective as slow: their time-out may be seconds away. */
  void recordLateAttempts(InFlightRequest request) {
    for (Attempt attempt : request.attempts) {
      long age = context.now - attempt.startedAt;
      if (attempt.isInFlight && !attempt.isLate && age > request.type.latencyObjectiveNanos()) {
        attempt.isLate = true;
        outliers.addLatency(attempt.endpoint, MAX_LATENCY, limiter.fleetMeanLatency());
      }
    }
  }
}
