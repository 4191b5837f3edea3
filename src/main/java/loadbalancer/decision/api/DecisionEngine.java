package loadbalancer.decision.api;

import java.util.function.Consumer;

/**
 * Makes every decision of one load balancer instance: which requests to admit, where to send them,
 * and when to retry, hedge, reject or give up.
 *
 * <p>An engine is single-threaded: call {@link #handle} from one thread at a time, with events in
 * the order in which they happened and clock readings that never go back. It uses no clock, no
 * environment and no source of randomness except its seed, so the same calls give the same actions.
 *
 * <p>The caller carries out the actions in the order in which it receives them, at the clock
 * reading of their event. It answers every {@link Action.StartAttempt} with exactly one {@link
 * Event.AttemptEnded}, every {@link Action.SetTimer} with one {@link Event.TimerFired}, and every
 * {@link Action.CheckHealth} with one {@link Event.HealthCheckResult}.
 */
public interface DecisionEngine {

  /**
   * Handles one event.
   *
   * @param nowNanos the clock reading at which the event happened
   * @param event the event to handle
   * @param actions receives the resulting actions, in order, before this method returns
   * @throws RuntimeException on a defect; the engine's state is then undefined, and the engine must
   *     be discarded
   */
  void handle(long nowNanos, Event event, Consumer<Action> actions);
}
