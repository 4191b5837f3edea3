package loadbalancer.downstream;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;
import java.util.Map;

/** The requests of one connection that wait for the response to an earlier one; it owns them. */
final class PipelinedRequests {

  /** Bounds the memory that waiting requests take. */
  private static final int MAX_REQUESTS = 32;

  /** What a waiting request takes in memory beside the text of its head, in bytes. */
  private static final long REQUEST_OVERHEAD_BYTES = 512;

  /** What each of its headers takes beside its text, in bytes. */
  private static final long HEADER_OVERHEAD_BYTES = 96;

  /**
   * A request that waits; its client's timeout runs from its arrival on.
   *
   * @param deadlineNanos clock reading at which that is over
   */
  record QueuedRequest(
      FullHttpRequest request, long arrivedAtNanos, long deadlineNanos, long headBytes) {}

  private final BodyBudget budget;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>(1);

  /** Makes an empty queue; the heads of its requests count against the budget. */
  PipelinedRequests(BodyBudget budget) {
    this.budget = budget;
  }

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Queues a request and retains it; false if too many wait already, or too much memory is in use.
   * The request then counts as one whose decoding failed, and its error ends the connection in its
   * turn.
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

  /** About what a request's head takes in memory. */
  private static long headBytes(FullHttpRequest request) {
    long bytes = REQUEST_OVERHEAD_BYTES + request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += HEADER_OVERHEAD_BYTES + header.getKey().length() + header.getValue().length();
    }
    return bytes;
  }

  /** The next request, which is the caller's to release; null for none. */
  QueuedRequest poll() {
    QueuedRequest next = queue.poll();
    if (next != null) {
      budget.release(next.headBytes());
    }
    return next;
  }

  /** Whether the time of a request that waits is over at a clock reading. */
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
