package loadbalancer.telemetry;

import loadbalancer.decision.api.AttemptStatus;

/** What the log tells of one attempt of a request. Clock readings and durations are nanoseconds. */
public interface TracedAttempt {

  long endpointId();

  /** Clock reading at which the attempt was started. */
  long startedAtNanos();

  /** How it ended; null while it is in flight. */
  AttemptStatus status();

  /** Time from its start to its end; undefined while it is in flight. */
  long latencyNanos();
}
