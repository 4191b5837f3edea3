package loadbalancer.decision;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.RequestClass;

/** A request that has no final answer yet, or that still has attempts in flight. */
final class InFlightRequest {

  final Event.RequestArrived arrival;
  final RequestClass type;
  final long arrivedAt;

  // Set once, by RequestClassifier.
  boolean hasQuota;
  boolean isOverQuota;
  double priority; // the value of a response in time
  SlidingWindow routeWindow; // of its class and tenant, within or over quota
  SlidingWindow keyWindow; // of its affinity key within its route
  double load; // in mean requests

  // Written by RequestLifecycle.
  final List<Attempt> attempts = new ArrayList<>(1);
  int attemptsInFlight;
  boolean isAnswered;
  boolean isStreaming;

  InFlightRequest(Event.RequestArrived arrival, RequestClass type, long now) {
    this.arrival = arrival;
    this.type = type;
    arrivedAt = now;
  }

  String id() {
    return arrival.requestId();
  }

  boolean isInFlight(int attempt) {
    return attempt < attempts.size() && attempts.get(attempt).isInFlight;
  }

  /** Returns whether an attempt was or may still be sent: another one uses the retry budget. */
  boolean hasSentAttempt() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveBeenSent) {
        return true;
      }
    }
    return false;
  }

  boolean mayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun) {
        return true;
      }
    }
    return false;
  }
}
