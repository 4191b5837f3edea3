package loadbalancer.testing;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;

/** The production decision engine, which records endpoint list updates once it has handled them. */
public final class RecordingEngine implements DecisionEngine {

  private final DecisionEngine engine;
  private final Set<UpdateKind> recordedKinds;
  private final BlockingQueue<EndpointListUpdate> updates = new LinkedBlockingQueue<>();

  /** Creates an engine that records the updates of these kinds. */
  public RecordingEngine(BalancerConfig config, UpdateKind... recordedKinds) {
    engine = new LoadBalancingEngine(config.settings(), config.seed());
    this.recordedKinds = EnumSet.copyOf(List.of(recordedKinds));
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    engine.handle(nowNanos, event, actions);
    if (event instanceof EndpointListUpdate update && recordedKinds.contains(update.kind())) {
      updates.add(update);
    }
  }

  /** Waits for the next recorded update. */
  public EndpointListUpdate awaitUpdate() throws InterruptedException {
    EndpointListUpdate update = updates.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    assertNotNull(update, "no update arrived");
    return update;
  }
}
