package loadbalancer.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import loadbalancer.http.HeadMemory;

/**
 * The queued requests of one connection, which wait for the response to an earlier request. The
 * queue holds a reference to each.
 */
final class PipelinedRequests {

  /**
   * Number of queued requests from which on the queue is full. While input is left unread, a
   * disconnect cannot be noticed and requests are rejected, so that the queue holds more than
   * clients usually send at once.
   */
  private static final int MAX_REQUESTS = 1024;

  /** The result of {@link #firstDeadlineAfter} if there is none. */
  static final long NO_DEADLINE = Long.MAX_VALUE;

  /** Memory that a queued request takes in addition to its URI and headers, in bytes. */
  private static final long REQUEST_OVERHEAD_BYTES = 512;

  /**
   * A queued request, whose timeout runs from its arrival.
   *
   * @param deadlineNanos clock reading at which the timeout ends
   * @param reservedBytes memory that is reserved for it, beside that of its headers; 0 if there was
   *     none left
   */
  record QueuedRequest(
      FullHttpRequest request, long arrivedAtNanos, long deadlineNanos, long reservedBytes) {}

  private final HeadMemory memory;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>(1);
  private int requestsWithoutMemory;

  /** Creates an empty queue, which reserves memory for queued requests. */
  PipelinedRequests(HeadMemory memory) {
    this.memory = memory;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Returns whether further input must be left unread until a request has been polled, because many
   * requests are queued or little memory is left.
   */
  boolean isFull() {
    boolean lacksMemory = requestsWithoutMemory > 0 || memory.isScarce();
    return queue.size() >= MAX_REQUESTS || (lacksMemory && !queue.isEmpty());
  }

  /** Queues a request, even if the queue is full, and retains it. */
  void enqueue(FullHttpRequest request, long arrivedAtNanos, long deadlineNanos) {
    long bytes = REQUEST_OVERHEAD_BYTES + request.uri().length();
    if (!memory.tryReserve(bytes)) {
      bytes = 0;
      requestsWithoutMemory++;
    }
    queue.add(new QueuedRequest(request.retain(), arrivedAtNanos, deadlineNanos, bytes));
  }

  /** Removes the next request, which the caller has to release. Returns null if there is none. */
  QueuedRequest poll() {
    QueuedRequest next = queue.poll();
    if (next == null) {
      return null;
    }
    if (next.reservedBytes() == 0) {
      requestsWithoutMemory--;
    }
    memory.release(next.reservedBytes());
    return next;
  }

  /** Returns whether the deadline of a queued request has passed at a clock reading. */
  boolean hasOverdue(long nowNanos) {
    for (QueuedRequest queued : queue) {
      if (nowNanos >= queued.deadlineNanos()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the first deadline of a queued request after a clock reading, or {@link #NO_DEADLINE}.
   */
  long firstDeadlineAfter(long nowNanos) {
    long first = NO_DEADLINE;
    for (QueuedRequest queued : queue) {
      if (queued.deadlineNanos() > nowNanos) {
        first = Math.min(first, queued.deadlineNanos());
      }
    }
    return first;
  }

  void releaseAll() {
    for (QueuedRequest queued = poll(); queued != null; queued = poll()) {
      queued.request().release();
    }
  }
}
