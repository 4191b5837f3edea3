package loadbalancer.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import loadbalancer.net.MemoryBudget;

/**
 * The memory that the heads of one connection's messages take: those that are arriving, queued or
 * in use. Every connection may take a guaranteed amount, which is enough for a usual head. What
 * exceeds it is reserved in a budget that all connections share. Confined to the event loop.
 */
public final class HeadMemory {

  /** The memory that every connection may take, whatever the others take. */
  private static final long GUARANTEED_BYTES = 2048;

  /** The part of the shared budget from which on connections should not read further messages. */
  private static final double SCARCE_SHARE = 0.5;

  private final MemoryBudget budget;
  private long usedBytes;
  private long reservedBytes;

  /** The bytes of a line that has arrived only in part. */
  private long partialLineBytes;

  private boolean closed;

  /**
   * Creates the memory of a connection that has no messages yet.
   *
   * @param budget the memory that all connections share
   */
  public HeadMemory(MemoryBudget budget) {
    this.budget = budget;
  }

  /** Returns the configuration of a decoder that counts header fields and drops trailers. */
  public HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setHeadersFactory(new CountedHeaders.Factory(this))
        .setTrailersFactory(new DroppedTrailers.Factory());
  }

  /**
   * Gives back the memory of a message's header fields, which are removed. A no-op for a message
   * whose fields are not counted, or have been removed before.
   */
  public static void release(HttpHeaders headers) {
    headers.clear();
  }

  /** Reserves memory and returns true, or returns false if too little is left. */
  public boolean tryReserve(long bytes) {
    long missingBytes = usedBytes + bytes - GUARANTEED_BYTES - reservedBytes;
    if (missingBytes > 0) {
      if (!budget.tryReserve(missingBytes)) {
        return false;
      }
      reservedBytes += missingBytes;
    }
    usedBytes += bytes;
    return true;
  }

  /** Gives reserved memory back; a no-op once the connection has ended. */
  public void release(long bytes) {
    if (closed) {
      return;
    }
    usedBytes -= bytes;
    long excessBytes = Math.max(0, usedBytes - GUARANTEED_BYTES);
    if (excessBytes < reservedBytes) {
      budget.release(reservedBytes - excessBytes);
      reservedBytes = excessBytes;
    }
  }

  /**
   * Reserves the memory for the bytes of a line that has arrived only in part, in place of that for
   * an earlier one. Returns false if too little is left.
   */
  public boolean tryReservePartialLine(long bytes) {
    release(partialLineBytes);
    partialLineBytes = 0;
    if (!tryReserve(bytes)) {
      return false;
    }
    partialLineBytes = bytes;
    return true;
  }

  /**
   * Returns whether further messages should be left unread: this connection takes more than it is
   * guaranteed, and little is left of the shared memory.
   */
  public boolean isScarce() {
    return reservedBytes > 0 && budget.isUsed(SCARCE_SHARE);
  }

  /** Gives all memory back, as the messages that took it are about to be dropped. */
  public void releaseAll() {
    release(usedBytes);
  }

  /** Gives all memory back, as the connection has ended. */
  public void close() {
    releaseAll();
    closed = true;
  }
}
