package loadbalancer.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Log of the kills, terminations and pauses of one proxy, through all its incarnations, and of the
 * crashes and failed starts of its process. Thread-safe.
 */
final class ProxyEventLog implements ProxyHistory {

  /**
   * A request that is sent later than this after SIGTERM must be answered even if the SIGKILL that
   * follows the SIGTERM comes first.
   */
  private static final long RESPONSE_REQUIRED_AFTER_TERM_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Maximum delay of SIGKILL beyond the time at which it is due. */
  private static final long MAX_KILL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A time interval between two values of {@link System#nanoTime()}. */
  record Interval(long fromNanos, long toNanos) {
    boolean overlaps(long from, long to) {
      return from <= toNanos && to >= fromNanos;
    }
  }

  private final int index;
  private final long killAfterTermNanos;
  private final List<Interval> kills = new ArrayList<>();
  private final List<Long> terminations = new ArrayList<>();
  private final List<Interval> pauses = new ArrayList<>();
  private final List<Violation> violations = new ArrayList<>();

  /**
   * Creates the log of a proxy that has not been started.
   *
   * @param killAfterTermNanos the time after SIGTERM at which SIGKILL is due
   */
  ProxyEventLog(int index, long killAfterTermNanos) {
    this.index = index;
    this.killAfterTermNanos = killAfterTermNanos;
  }

  synchronized void recordKill(Interval interval) {
    kills.add(interval);
  }

  synchronized void recordTermination(long atNanos) {
    terminations.add(atNanos);
  }

  synchronized void recordPause(Interval interval) {
    pauses.add(interval);
  }

  synchronized void recordViolation(Violation.Rule rule, String detail) {
    violations.add(new Violation(rule, System.nanoTime(), null, "n" + index + " " + detail));
  }

  synchronized List<Violation> violations() {
    return List.copyOf(violations);
  }

  @Override
  public synchronized boolean wasPaused(long fromNanos, long toNanos) {
    return pauses.stream().anyMatch(pause -> pause.overlaps(fromNanos, toNanos));
  }

  /**
   * Returns whether SIGKILL interrupted the request. A SIGKILL that ended a shutdown, at most 0.5 s
   * after it was due, does not count for a request that was sent more than 700 ms after the
   * SIGTERM.
   */
  @Override
  public synchronized boolean hasKillLost(RequestRecord request) {
    return kills.stream()
        .anyMatch(
            kill ->
                kill.overlaps(request.atRiskSinceNanos, request.endNanos)
                    && !isResponseRequiredDespiteKill(request.writeStartedNanos, kill.fromNanos()));
  }

  private boolean isResponseRequiredDespiteKill(long writeStartedNanos, long killNanos) {
    return terminations.stream()
        .anyMatch(
            term ->
                killNanos > term
                    && killNanos - term < killAfterTermNanos + MAX_KILL_DELAY_NANOS
                    && writeStartedNanos - term > RESPONSE_REQUIRED_AFTER_TERM_NANOS);
  }
}
