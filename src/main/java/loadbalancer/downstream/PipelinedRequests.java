package loadbalancer.downstream;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.Map;
import loadbalancer.net.MemoryBudget;

/**
 * The queued requests of one connection, which wait for the response to an earlier request. The
 * queue holds a reference to each.
 */
final class PipelinedRequests {

  /** Limit on the number of queued requests, which bounds the memory they take. */
  private static final int MAX_REQUESTS = 32;

  /** Memory that a queued request takes in addition to its URI and headers, in bytes. */
  private static final long REQUEST_OVERHEAD_BYTES = 512;

  /** Memory that each header takes in addition to its text, in bytes. */
  private static final long HEADER_OVERHEAD_BYTES = 96;

  /**
   * A queued request, whose timeout runs from its arrival.
   *
   * @param deadlineNanos clock reading at which the timeout ends
   * @param headBytes bytes that its head counts against the budget; 0 if the request was queued
   *     only to get an error response
   */
  record QueuedRequest(
      FullHttpRequest request, long arrivedAtNanos, long deadlineNanos, long headBytes) {}

  private final MemoryBudget budget;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>(1);

  /** Creates an empty queue. The heads of queued requests count against the budget. */
  PipelinedRequests(MemoryBudget budget) {
    this.budget = budget;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Queues a request and retains it. If too many requests are queued already or too much memory is
   * in use, queues it as one whose decoding failed, so that it gets an error response in its turn,
   * and returns false: the caller must discard further input.
   */
  boolean enqueue(FullHttpRequest request, long arrivedAtNanos, long deadlineNanos) {
    long headBytes = headBytes(request);
    if (queue.size() < MAX_REQUESTS && budget.tryReserve(headBytes)) {
      queue.add(new QueuedRequest(request.retain(), arrivedAtNanos, deadlineNanos, headBytes));
      return true;
    }
    request.setDecoderResult(
        DecoderResult.failure(new TooLongFrameException("too many pipelined requests")));
    queue.add(new QueuedRequest(request.retain(), arrivedAtNanos, deadlineNanos, 0));
    return false;
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
    if (next != null) {
      budget.release(next.headBytes());
    }
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
