package loadbalancer.downstream;

import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * A limit in bytes on the memory that the request bodies of all client connections and the heads of
 * queued requests take together.
 */
final class BodyBudget {

  private final long maxBytes;
  private long usedBytes;

  BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Counts received bytes, which the caller has to release even if this method throws.
   *
   * @throws TooLongHttpContentException if the budget is exceeded
   */
  void addReceived(int bytes) {
    usedBytes += bytes;
    if (usedBytes > maxBytes) {
      throw new TooLongHttpContentException("request bodies exceed " + maxBytes + " bytes in all");
    }
  }

  /**
   * Counts bytes, which the caller has to release, and returns true if there is room for them.
   * Otherwise counts nothing and returns false.
   */
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
