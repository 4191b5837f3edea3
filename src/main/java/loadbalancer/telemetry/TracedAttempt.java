package loadbalancer.telemetry;

import loadbalancer.decision.api.AttemptStatus;

/**
 * The properties of an attempt that are logged. Clock readings and durations are in nanoseconds.
 */
public interface TracedAttempt {

  /** Returns the id of the attempt's endpoint. */
  long endpointId();

  /** Returns the clock reading at which the attempt was started. */
  long startedAtNanos();

  /** Returns how the attempt ended; null while it is in flight. */
  AttemptStatus status();

  /** Returns the time from the attempt's start to its end; undefined while it is in flight. */
  long latencyNanos();
}
