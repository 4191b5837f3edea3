package loadbalancer.telemetry;

import io.netty.buffer.PooledByteBufAllocator;
import java.util.function.LongSupplier;

/**
 * The memory in buffers outside the heap, for log lines: what the allocator has taken from the
 * process's share, and what the bodies in it are counted as. A large difference is memory that no
 * budget limits.
 */
public final class BufferMemory {

  private static final long KIBIBYTE = 1024;

  private final LongSupplier bufferBytes;
  private final LongSupplier bodyBytes;

  /**
   * Creates the figures.
   *
   * @param bufferBytes returns the memory that the allocator of buffers has taken
   * @param bodyBytes returns the memory that is reserved for bodies
   */
  public BufferMemory(LongSupplier bufferBytes, LongSupplier bodyBytes) {
    this.bufferBytes = bufferBytes;
    this.bodyBytes = bodyBytes;
  }

  /** Returns the figures of Netty's pooled allocator, which the proxy uses. */
  public static BufferMemory ofPool(LongSupplier bodyBytes) {
    return new BufferMemory(
        () -> PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory(), bodyBytes);
  }

  /** Returns the figures as fields of a log line. */
  @Override
  public String toString() {
    return "buffers_kib="
        + bufferBytes.getAsLong() / KIBIBYTE
        + " bodies_kib="
        + bodyBytes.getAsLong() / KIBIBYTE;
  }
}
