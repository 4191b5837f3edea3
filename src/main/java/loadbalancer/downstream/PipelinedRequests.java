package loadbalancer.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.Map;
import loadbalancer.net.MemoryBudget;

/**
 * The queued requests of one connection, which wait for the response to an earlier request. The
 * queue holds a reference to each.
 */
final class PipelinedRequests {

  /**
   * Number of queued requests from which on the queue is full. While input is left unread, a
   * disconnect cannot be noticed, so that the queue holds more than clients usually send at once.
   */
  private static final int MAX_REQUESTS = 256;

  /** Memory that a queued request takes in addition to its URI and headers, in bytes. */
  private static final long REQUEST_OVERHEAD_BYTES = 512;

  /** Memory that each header takes in addition to its text, in bytes. */
  private static final long HEADER_OVERHEAD_BYTES = 96;

  /**
   * A queued request, whose timeout runs from its arrival.
   *
   * @param deadlineNanos clock reading at which the timeout ends
   * @param headBytes memory that is reserved for its head; 0 if there was none left
   */
  record QueuedRequest(
      FullHttpRequest request, long arrivedAtNanos, long deadlineNanos, long headBytes) {}

  private final MemoryBudget budget;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>(1);
  private int requestsWithoutMemory;

  /** Creates an empty queue, which reserves memory for the heads of queued requests. */
  PipelinedRequests(MemoryBudget budget) {
    this.budget = budget;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Returns whether further input must be left unread until a request has been polled, because many
   * requests are queued or no memory is left.
   */
  boolean isFull() {
    return queue.size() >= MAX_REQUESTS || requestsWithoutMemory > 0;
  }

  /** Queues a request, even if the queue is full, and retains it. */
  void enqueue(FullHttpRequest request, long arrivedAtNanos, long deadlineNanos) {
    long headBytes = headBytes(request);
    if (!budget.tryReserve(headBytes)) {
      headBytes = 0;
      requestsWithoutMemory++;
    }
    queue.add(new QueuedRequest(request.retain(), arrivedAtNanos, deadlineNanos, headBytes));
  }

  /** Returns approximately how much memory a request's head takes. */
  private static long headBytes(FullHttpRequest request) {
    long bytes = REQUEST_OVERHEAD_BYTES + request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }

  /** Removes the next request, which the caller has to release. Returns null if there is none. */
  QueuedRequest poll() {
    QueuedRequest next = queue.poll();
    if (next == null) {
      return null;
    }
    if (next.headBytes() == 0) {
      requestsWithoutMemory--;
    }
    budget.release(next.headBytes());
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

  void releaseAll() {
    for (QueuedRequest queued = poll(); queued != null; queued = poll()) {
      queued.request().release();
    }
  }
}
