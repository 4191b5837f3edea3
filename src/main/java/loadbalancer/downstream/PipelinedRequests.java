package loadbalancer.downstream;

import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.FullHttpRequest;
import java.util.ArrayDeque;

/** The requests of one connection that wait for the response to an earlier one; it owns them. */
final class PipelinedRequests {

  /** Bounds the memory that waiting requests take. */
  private static final int MAX_REQUESTS = 32;

  /** A request that waits; its client's timeout runs from its arrival on. */
  record Waiting(FullHttpRequest request, long arrivedAtNanos) {}

  private final ArrayDeque<Waiting> queue = new ArrayDeque<>(1);

  boolean isEmpty() {
    return queue.isEmpty();
  }

  /**
   * Queues a request and retains it; false if too many wait already. The last of these then counts
   * as one whose decoding failed, and its error ends the connection in its turn.
   */
  boolean offer(FullHttpRequest request, long arrivedAtNanos) {
    if (queue.size() < MAX_REQUESTS) {
      queue.add(new Waiting(request.retain(), arrivedAtNanos));
      return true;
    }
    DecoderResult failure =
        DecoderResult.failure(new TooLongFrameException("too many pipelined requests"));
    queue.peekLast().request().setDecoderResult(failure);
    return false;
  }

  /** The next request, which is the caller's to release; null for none. */
  Waiting poll() {
    return queue.poll();
  }

  void releaseAll() {
    for (Waiting waiting : queue) {
      waiting.request().release();
    }
    queue.clear();
  }
}
