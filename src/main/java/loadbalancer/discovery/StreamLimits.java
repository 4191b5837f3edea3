package loadbalancer.discovery;

import java.util.concurrent.TimeUnit;

/**
 * Keeps account of the time limits of one call. TCP alone does not show that the other side is
 * gone; so a call is over when nothing arrives, no first list, or only a part of a list.
 */
final class StreamLimits {

  private final long firstListTimeoutMillis;
  private final long firstByteTimeoutMillis;
  private final long openedNanos = System.nanoTime();
  private long lastReceivedNanos = openedNanos;
  private boolean hasReceivedList;

  /** When the request was sent, while nothing has been received since; 0 else. */
  private long awaitingResponseSinceNanos;

  private boolean isWithinList;

  /** When the list began that is incomplete, if {@link #isWithinList}. */
  private long listStartedNanos;

  /**
   * Limits that run from now on.
   *
   * @param firstListTimeoutMillis the time for the first list, in ms
   * @param firstByteTimeoutMillis the time from the request to the first byte of a response, in ms
   */
  StreamLimits(long firstListTimeoutMillis, long firstByteTimeoutMillis) {
    this.firstListTimeoutMillis = firstListTimeoutMillis;
    this.firstByteTimeoutMillis = firstByteTimeoutMillis;
  }

  /** The request was sent. */
  void requestSent() {
    awaitingResponseSinceNanos = System.nanoTime();
  }

  /** Something was received, be it an empty line. */
  void received() {
    lastReceivedNanos = System.nanoTime();
    awaitingResponseSinceNanos = 0;
  }

  /** What was received last left a list incomplete, or it did not. */
  void setWithinList(boolean isWithin) {
    if (isWithin && !isWithinList) {
      listStartedNanos = lastReceivedNanos;
    }
    isWithinList = isWithin;
  }

  /** A list is complete. What has been received of the next one begins anew. */
  void listCompleted() {
    isWithinList = false;
  }

  /** A complete list was well-formed. */
  void listAccepted() {
    hasReceivedList = true;
  }

  /** Whether a well-formed list has arrived. */
  boolean hasReceivedList() {
    return hasReceivedList;
  }

  /** The limit that is exceeded; null if none is. */
  DiscoveryFailure exceededLimit() {
    if (isSilent()) {
      return DiscoveryFailure.SILENT;
    }
    boolean isOverdue =
        isWithinList
            && hasElapsed(listStartedNanos, DiscoveryTimeouts.LIST_COMPLETION_TIMEOUT_MILLIS);
    return isOverdue ? DiscoveryFailure.LIST_INCOMPLETE : null;
  }

  /** Before the first list, empty lines are no sign of life. */
  private boolean isSilent() {
    if (awaitingResponseSinceNanos != 0
        && hasElapsed(awaitingResponseSinceNanos, firstByteTimeoutMillis)) {
      return true;
    }
    return hasReceivedList
        ? hasElapsed(lastReceivedNanos, DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS)
        : hasElapsed(openedNanos, firstListTimeoutMillis);
  }

  private static boolean hasElapsed(long sinceNanos, long limitMillis) {
    return System.nanoTime() - sinceNanos > TimeUnit.MILLISECONDS.toNanos(limitMillis);
  }
}
