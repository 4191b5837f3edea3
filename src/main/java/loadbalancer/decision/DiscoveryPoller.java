package loadbalancer.decision;

import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.UpdateKind;

/** Subscribes to the endpoint list and, with a backoff, again after failures. Owns the backoff. */
public final class DiscoveryPoller {

  static final String TIMER_TOKEN = "ask"; // token of the timer of the next subscription

  // The longest backoff, 1 s, and the duration of a poll must fit into the 6 s after which the
  // platform expects an instance to know of a change.
  private static final long BASE_BACKOFF_NANOS = DecisionContext.SECOND_NANOS / 4;
  private static final int MAX_DOUBLINGS = 2;

  private final DecisionContext context;
  private int consecutiveFailures;
  private long nextPollAt = Long.MAX_VALUE;

  DiscoveryPoller(DecisionContext context) {
    this.context = context;
  }

  /**
   * Returns the longest backoff, in nanoseconds, after a failure.
   *
   * @param failures the number of consecutive failures before it
   */
  public static long maxPollBackoffNanos(int failures) {
    return BASE_BACKOFF_NANOS << Math.min(failures, MAX_DOUBLINGS);
  }

  void onUpdate(UpdateKind kind) {
    if (kind == UpdateKind.FAILED) {
      // Full jitter, so that instances do not return to the discovery service at the same time.
      long backoff = maxPollBackoffNanos(consecutiveFailures++);
      nextPollAt = context.now + (long) (backoff * context.random.nextDouble());
      context.actions.accept(new Action.SetTimer(TIMER_TOKEN, nextPollAt));
    } else if (kind != UpdateKind.CACHED) {
      consecutiveFailures = 0;
    } else if (context.settings.polledDiscovery()) {
      context.actions.accept(new Action.WatchEndpoints(true));
    }
  }

  /** Subscribes again, unless a later failure has postponed that. */
  void onTimer() {
    if (context.now >= nextPollAt) {
      nextPollAt = Long.MAX_VALUE;
      context.actions.accept(new Action.WatchEndpoints(true));
    }
  }
}
