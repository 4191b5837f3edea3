package loadbalancer.downstream;

import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Bounds the memory that the request bodies of all client connections, and the heads of requests
 * that wait for their turn, take together, in bytes.
 */
final class BodyBudget {

  private final long maxBytes;
  private long usedBytes;

  BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Counts received bytes, which have to be released in either outcome.
   *
   * @throws TooLongHttpContentException if the budget is exceeded
   */
  void reserve(int bytes) {
    usedBytes += bytes;
    if (usedBytes > maxBytes) {
      throw new TooLongHttpContentException("request bodies exceed " + maxBytes + " bytes in all");
    }
  }

  /** Counts bytes if there is room for them; only then are they to be released. */
  boolean tryReserve(long bytes) {
    if (usedBytes + bytes > maxBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  void release(long bytes) {
    usedBytes -= bytes;
  }
}
