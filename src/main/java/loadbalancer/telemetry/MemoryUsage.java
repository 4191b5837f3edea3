package loadbalancer.telemetry;

import io.netty.buffer.PooledByteBufAllocator;
import java.util.function.LongSupplier;

/**
 * The memory of the process, for log lines. Outside the heap: what the allocator of buffers has
 * taken from the process's share, and what the bodies in it are counted as; a large difference is
 * memory that no budget limits. On the heap: what is reserved for heads, and what is in use, with
 * the garbage.
 */
public final class MemoryUsage {

  private static final long KIBIBYTE = 1024;

  private final LongSupplier bufferBytes;
  private final LongSupplier bodyBytes;
  private final LongSupplier headBytes;
  private final LongSupplier heapBytes;

  /**
   * Creates the figures.
   *
   * @param bufferBytes returns the memory that the allocator of buffers has taken
   * @param bodyBytes returns the memory that is reserved for bodies
   * @param headBytes returns the memory on the heap that is reserved for heads
   * @param heapBytes returns the memory on the heap that is in use
   */
  public MemoryUsage(
      LongSupplier bufferBytes,
      LongSupplier bodyBytes,
      LongSupplier headBytes,
      LongSupplier heapBytes) {
    this.bufferBytes = bufferBytes;
    this.bodyBytes = bodyBytes;
    this.headBytes = headBytes;
    this.heapBytes = heapBytes;
  }

  /** Returns the figures of this process, whose buffers come from Netty's pooled allocator. */
  public static MemoryUsage ofProcess(LongSupplier bodyBytes, LongSupplier headBytes) {
    Runtime runtime = Runtime.getRuntime();
    return new MemoryUsage(
        () -> PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory(),
        bodyBytes,
        headBytes,
        () -> runtime.totalMemory() - runtime.freeMemory());
  }

  /** Returns the figures as fields of a log line. */
  @Override
  public String toString() {
    return "buffers_kib="
        + bufferBytes.getAsLong() / KIBIBYTE
        + " bodies_kib="
        + bodyBytes.getAsLong() / KIBIBYTE
        + " heads_kib="
        + headBytes.getAsLong() / KIBIBYTE
        + " heap_kib="
        + heapBytes.getAsLong() / KIBIBYTE;
  }
}
