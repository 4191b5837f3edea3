package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.BackgroundLogHandler;

/**
 * Owns the decision engine: passes it one event at a time, and replaces it when it fails. Confined
 * to the event loop.
 */
final class EngineRunner implements Consumer<Event> {

  private static final Logger LOG = Logger.getLogger(EngineRunner.class.getName());

  private final EventLoop loop;
  private final MonotonicClock clock;
  private final LongFunction<DecisionEngine> engineFactory;
  private final EventQueue events;
  private final EndpointDirectory directory;
  private final InFlightRequests requests;
  private final RequestCompleter completer;
  private final AttemptRunner attempts;
  private final Consumer<Action> actions;
  private DecisionEngine engine;

  /**
   * Creates a runner and its first engine.
   *
   * @param engineFactory creates the n-th engine of the process, counted from 0
   * @param actions carries out the engine's actions
   */
  EngineRunner(
      EventLoop loop,
      MonotonicClock clock,
      LongFunction<DecisionEngine> engineFactory,
      EventQueue events,
      EndpointDirectory directory,
      InFlightRequests requests,
      RequestCompleter completer,
      AttemptRunner attempts,
      Consumer<Action> actions) {
    this.loop = loop;
    this.clock = clock;
    this.engineFactory = engineFactory;
    this.events = events;
    this.directory = directory;
    this.requests = requests;
    this.completer = completer;
    this.attempts = attempts;
    this.actions = actions;
    engine = engineFactory.apply(events.engineGeneration());
  }

  /**
   * Passes an event to the engine and carries out the resulting actions. Replaces the engine if it
   * throws, and removes the request of the event if it is finished.
   */
  @Override
  public void accept(Event event) {
    try {
      engine.handle(clock.nowNanos(), event, actions);
    } catch (RuntimeException e) {
      LOG.log(Level.SEVERE, "engine_failed event=" + event.getClass().getSimpleName(), e);
      recover(event);
    }
    if (event instanceof AttemptEnded end) {
      requests.removeIfFinished(end.requestId());
    } else if (event instanceof ClientDisconnected disconnection) {
      requests.removeIfFinished(disconnection.requestId());
    }
  }

  private static void endProcess() {
    BackgroundLogHandler.flushAll();
    Runtime.getRuntime().halt(1);
  }

  /**
   * Replaces an engine that has thrown an exception, as its state is undefined: every request in
   * flight gets its final response, and a new engine starts from the current endpoint list. If the
   * engine has failed on its first event, every new one would fail too, so the process ends
   * instead.
   */
  private void recover(Event failedEvent) {
    if (failedEvent instanceof EndpointListUpdate update && update.kind() == UpdateKind.CACHED) {
      LOG.severe("engine_start_failed process=ends");
      completer.failAll();
      // The process ends in a later turn of the event loop, when the responses have been written.
      loop.execute(EngineRunner::endProcess);
      return;
    }
    for (ProxiedRequest request : requests.all()) {
      attempts.cancelAll(request);
    }
    completer.failAll();
    requests.clear();
    engine = engineFactory.apply(events.startNextGeneration());
    EndpointListUpdate currentList = directory.snapshot();
    events.enqueue(() -> currentList);
  }
}
