package loadbalancer.testing;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;

/**
 * Runs a test's steps on a proxy's event loop, and so forces the order of events: the loop stands
 * still while a step runs. A step runs when the engine handles a request with {@link
 * #TRIGGER_HEADER}.
 */
public final class EventLoopSteps {

  /** Makes a request a cue. */
  public static final String TRIGGER_HEADER = "X-Size-Hint: 7\r\n";

  /** A step on the event loop; it may have the proxy carry out actions. */
  public interface Step {
    void run(Consumer<Action> actions);
  }

  private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();

  /** Adds what the next cue without a step does; a cue without any does nothing. */
  public void add(Step step) {
    steps.add(step);
  }

  /**
   * An engine that rejects every cue after its step, and starts one attempt of every other request.
   *
   * @param endpoint the name of the endpoint that all attempts go to
   * @param timeoutNanos the attempts' time-out
   */
  public ScriptedEngine engine(String endpoint, long timeoutNanos) {
    return new ScriptedEngine(
        (event, actions) -> {
          if (event instanceof RequestArrived request && request.workHintNanos() > 0) {
            Step step = steps.poll();
            if (step != null) {
              step.run(actions);
            }
            actions.accept(new RejectRequest(request.requestId(), 0));
          } else if (event instanceof RequestArrived request) {
            actions.accept(
                new StartAttempt(
                    request.requestId(), DiscoveryMessages.endpointId(endpoint), timeoutNanos));
          } else if (event instanceof AttemptEnded attempt && !attempt.isRequestAnswered()) {
            actions.accept(new FailRequest(attempt.requestId()));
          }
        });
  }

  /** Lets time pass on the calling thread, where the time itself is part of the order. */
  public static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
