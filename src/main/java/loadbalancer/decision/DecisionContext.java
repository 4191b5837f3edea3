package loadbalancer.decision;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.Settings;

/** The state shared by the components of an engine: settings, random source, current event. */
final class DecisionContext {

  static final long SECOND_NANOS = 1_000_000_000L;

  // Length of a window as a multiple of the longest latency objective, so that its means have
  // enough samples. A window lasts at least a second.
  private static final double WINDOW_OBJECTIVES = 2;

  // Number of sweeps in the shortest latency objective, so that late attempts are noticed soon.
  private static final int SWEEPS_PER_OBJECTIVE = 8;

  final Settings settings;
  final SplittableRandom random; // the order of draws affects the decisions
  final long windowNanos;
  final long sweepNanos;
  final long shortestObjectiveNanos;
  final int maxKeyedWindows;
  long now; // clock reading of the event being handled
  Consumer<Action> actions; // receives the actions that result from the event, in order

  DecisionContext(Settings settings, long seed, int maxKeyedWindows) {
    this.settings = settings;
    this.maxKeyedWindows = maxKeyedWindows;
    random = new SplittableRandom(seed);
    long shortest = Long.MAX_VALUE;
    long longest = 0;
    for (RequestClass type : settings.classes()) {
      shortest = Math.min(shortest, type.latencyObjectiveNanos());
      longest = Math.max(longest, type.latencyObjectiveNanos());
    }
    windowNanos = Math.max(SECOND_NANOS, (long) (WINDOW_OBJECTIVES * longest));
    sweepNanos = shortest / SWEEPS_PER_OBJECTIVE;
    shortestObjectiveNanos = shortest;
  }
}
