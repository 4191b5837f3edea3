package loadbalancer.telemetry;

import loadbalancer.decision.api.AttemptStatus;

/** What the log says of one attempt of a request. Clock readings and durations are nanoseconds. */
public interface TracedAttempt {

  /** The endpoint that it went to. */
  long endpointId();

  /** Clock reading at which the attempt was started. */
  long startedAtNanos();

  /** How it ended; null while it is in flight. */
  AttemptStatus status();

  /** Time from its start to its end; undefined while it is in flight. */
  long latencyNanos();
}
