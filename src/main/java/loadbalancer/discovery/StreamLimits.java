package loadbalancer.discovery;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the time limits of one call. TCP does not always report that the peer is gone, so a call
 * is delayed if it receives no first list in time, and fails if it receives none for much longer,
 * no further data or only a part of a list.
 */
final class StreamLimits {

  private final long firstListTimeoutMillis;
  private final long firstByteTimeoutMillis;
  private final long openedNanos = System.nanoTime();
  private long lastReceivedNanos = openedNanos;
  private boolean hasReceivedList;

  /** The time at which the request was sent; 0 unless its response is awaited. */
  private long awaitingResponseSinceNanos;

  private boolean isWithinList;

  /** The time at which the first byte of the incomplete list arrived, if {@link #isWithinList}. */
  private long listStartedNanos;

  /**
   * Creates the limits of a call that is opened now. The time for the first list runs from now on,
   * the time for the first byte from {@link #requestSent}.
   *
   * @param firstListTimeoutMillis the time until the first list after which the call is delayed, in
   *     ms
   * @param firstByteTimeoutMillis the time from the request to the first byte of the response after
   *     which the call is delayed, in ms
   */
  StreamLimits(long firstListTimeoutMillis, long firstByteTimeoutMillis) {
    this.firstListTimeoutMillis = firstListTimeoutMillis;
    this.firstByteTimeoutMillis = firstByteTimeoutMillis;
  }

  /** Records that the request was sent. */
  void requestSent() {
    awaitingResponseSinceNanos = System.nanoTime();
  }

  /** Records that data was received, which may be just an empty line. */
  void received() {
    lastReceivedNanos = System.nanoTime();
    awaitingResponseSinceNanos = 0;
  }

  /** Records whether the data received last ends within a list. */
  void setWithinList(boolean isWithin) {
    if (isWithin && !isWithinList) {
      listStartedNanos = lastReceivedNanos;
    }
    isWithinList = isWithin;
  }

  /** Records that a list is complete; the time to complete the next one starts anew. */
  void listCompleted() {
    isWithinList = false;
  }

  /** Records that a well-formed list was received. */
  void listAccepted() {
    hasReceivedList = true;
  }

  /** Returns whether a well-formed list has been received. */
  boolean hasReceivedList() {
    return hasReceivedList;
  }

  /**
   * Returns whether the time for the first byte or for the first list is over without a list. Empty
   * lines do not extend the time.
   */
  boolean isDelayed() {
    if (hasReceivedList) {
      return false;
    }
    boolean lacksFirstByte =
        awaitingResponseSinceNanos != 0
            && hasElapsed(awaitingResponseSinceNanos, firstByteTimeoutMillis);
    return lacksFirstByte || hasElapsed(openedNanos, firstListTimeoutMillis);
  }

  /** Returns the failure for the limit that is exceeded, or null if none is. */
  DiscoveryFailure exceededLimit() {
    if (isSilent()) {
      return DiscoveryFailure.SILENT;
    }
    boolean isOverdue =
        isWithinList
            && hasElapsed(listStartedNanos, DiscoveryTimeouts.LIST_COMPLETION_TIMEOUT_MILLIS);
    return isOverdue ? DiscoveryFailure.LIST_INCOMPLETE : null;
  }

  /** Returns whether the longest time for the first list, or for further data, is over. */
  private boolean isSilent() {
    return hasReceivedList
        ? hasElapsed(lastReceivedNanos, DiscoveryTimeouts.SILENCE_TIMEOUT_MILLIS)
        : hasElapsed(openedNanos, DiscoveryTimeouts.MAX_FIRST_LIST_WAIT_MILLIS);
  }

  private static boolean hasElapsed(long sinceNanos, long limitMillis) {
    return System.nanoTime() - sinceNanos > TimeUnit.MILLISECONDS.toNanos(limitMillis);
  }
}
