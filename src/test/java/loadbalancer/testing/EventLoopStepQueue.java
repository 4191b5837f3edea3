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
 * A queue of test steps that run on a proxy's event loop to force an order of events, as the event
 * loop is blocked while a step runs. A step runs when the engine handles a request with {@link
 * #TRIGGER_HEADER}.
 */
public final class EventLoopStepQueue {

  /** Header line of a request that triggers a step. */
  public static final String TRIGGER_HEADER = "X-Size-Hint: 7\r\n";

  /** A step on the event loop, which may have the proxy perform actions. */
  public interface Step {
    void run(Consumer<Action> actions);
  }

  private final BlockingQueue<Step> steps = new LinkedBlockingQueue<>();

  /**
   * Appends a step. Each trigger runs the next step that has not run yet, or does nothing if there
   * is none.
   */
  public void add(Step step) {
    steps.add(step);
  }

  /**
   * Returns an engine that rejects every trigger after its step, and starts one attempt of every
   * other request.
   *
   * @param endpoint name of the endpoint of all attempts
   * @param timeoutNanos timeout of each attempt
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

  /** Blocks the calling thread, where an order of events depends on elapsed time. */
  public static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
