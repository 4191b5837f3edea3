package loadbalancer.decision;

/** One attempt of a request at an endpoint. */
final class Attempt {

  final TrackedEndpoint endpoint;
  final long startedAt;
  boolean inFlight = true;
  boolean mayHaveRun = true; // false once it is certain that it never ran
  boolean mayHaveBeenSent = true; // false once it is certain that it was not sent
  boolean late; // a sweep found it in flight past the latency objective

  Attempt(TrackedEndpoint endpoint, long startedAt) {
    this.endpoint = endpoint;
    this.startedAt = startedAt;
  }
}
