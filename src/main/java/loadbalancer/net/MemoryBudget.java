package loadbalancer.net;

/** A limit in bytes on memory that is reserved and released. Confined to the event loop. */
public final class MemoryBudget {

  private final long maxBytes;
  private long usedBytes;

  /** Creates a budget of which nothing is reserved. */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Reserves memory and returns true, or returns false if the budget has too little left. */
  public boolean tryReserve(long bytes) {
    if (bytes > maxBytes - usedBytes) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /** Gives reserved memory back. */
  public void release(long bytes) {
    usedBytes -= bytes;
  }

  /** Returns how much memory is reserved. */
  public long usedBytes() {
    return usedBytes;
  }
}
