package loadbalancer.decision;

import java.util.function.Consumer;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.UpdateKind;

/** Dispatches each event to the component of the engine that handles it. */
public final class LoadBalancingEngine implements DecisionEngine {

  /** The heap that the counters of one key take, with the longest key, in bytes. */
  public static final int KEYED_WINDOW_BYTES = 768;

  final RequestLifecycle lifecycle;
  private final DecisionContext context;
  private final EndpointRegistry registry;
  private final DiscoveryPoller poller;

  /** Creates the engine of a load balancer instance; the seed is its only source of randomness. */
  public LoadBalancingEngine(Settings settings, long seed) {
    this(settings, seed, KeyedWindows.DEFAULT_MAX_KEYS);
  }

  /**
   * Creates an engine with a limit on its memory.
   *
   * @param maxKeyedWindows maximum number of tenants, routes and affinity keys whose traffic is
   *     counted; at most {@link #KEYED_WINDOW_BYTES} each. The least recently used are forgotten
   */
  public LoadBalancingEngine(Settings settings, long seed, int maxKeyedWindows) {
    context = new DecisionContext(settings, seed, maxKeyedWindows);
    registry = new EndpointRegistry(context);
    poller = new DiscoveryPoller(context);
    lifecycle = new RequestLifecycle(context, registry);
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    context.now = nowNanos;
    context.actions = actions;
    if (event instanceof Event.RequestArrived arrival) {
      lifecycle.onArrival(arrival);
    } else if (event instanceof Event.AttemptEnded end) {
      lifecycle.onAttemptEnded(end);
    } else if (event instanceof Event.TimerFired timer) {
      if (timer.token().equals(DiscoveryPoller.TIMER_TOKEN)) {
        poller.onTimer();
      } else {
        lifecycle.onSweep();
      }
    } else if (event instanceof Event.EndpointListUpdate update) {
      poller.onUpdate(update.kind());
      if (update.kind() != UpdateKind.FAILED) {
        registry.apply(update);
        lifecycle.onEndpointsUpdated();
      }
    } else if (event instanceof Event.ClientDisconnected disconnect) {
      lifecycle.onClientDisconnected(disconnect.requestId());
    } else if (event instanceof Event.ResponseStarted start) {
      lifecycle.onResponseStarted(start.requestId());
    }
    lifecycle.scheduleSweep();
  }
}
