package loadbalancer.decision;

/** One attempt of a request at an endpoint. */
final class Attempt {

  final TrackedEndpoint endpoint;
  final long startedAt;
  boolean isInFlight = true;
  boolean mayHaveRun = true; // or may still run
  boolean mayHaveBeenSent = true; // or may still be sent
  boolean isLate; // was past the latency objective at a sweep

  Attempt(TrackedEndpoint endpoint, long startedAt) {
    this.endpoint = endpoint;
    this.startedAt = startedAt;
  }
}
