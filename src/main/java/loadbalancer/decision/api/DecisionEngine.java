package loadbalancer.decision.api;

import java.util.function.Consumer;

/**
 * Makes every decision of one load balancer instance: which requests to admit, where to send them,
 * and when to retry, hedge, reject or give up.
 *
 * <p>An engine is single-threaded: call {@link #handle} from one thread at a time, with events in
 * the order in which they happened and clock readings that never go back. It reads no clock, no
 * environment and no source of randomness but its seed, so the same calls give the same actions.
 *
 * <p>Actions are to be carried out in the order in which they are handed over, at the clock reading
 * of their event. Every {@link Action.StartAttempt} is owed exactly one {@link Event.AttemptEnded},
 * every {@link Action.SetTimer} one {@link Event.TimerFired}, and every {@link Action.CheckHealth}
 * one {@link Event.HealthCheckResult}.
 */
public interface DecisionEngine {

  /**
   * Handles one event.
   *
   * @param nowNanos the clock reading at which the event happened
   * @param event what happened
   * @param actions receives the actions that follow, in order, before this method returns
   * @throws RuntimeException on a defect; the state is undefined then, and the engine must be
   *     dropped
   */
  void handle(long nowNanos, Event event, Consumer<Action> actions);
}
