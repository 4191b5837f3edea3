package loadbalancer.net;

/**
 * A limit in bytes on memory that is reserved and released. A budget may be a share of another one;
 * what is reserved in it then counts in both. Confined to the event loop.
 */
public final class MemoryBudget {

  private final MemoryBudget whole;
  private final long maxBytes;
  private long usedBytes;

  /** Creates a budget of which nothing is reserved. */
  public MemoryBudget(long maxBytes) {
    this(null, maxBytes);
  }

  private MemoryBudget(MemoryBudget whole, long maxBytes) {
    this.whole = whole;
    this.maxBytes = maxBytes;
  }

  /** Returns a new share of this budget, with a limit of its own. */
  public MemoryBudget share(long maxShareBytes) {
    return new MemoryBudget(this, maxShareBytes);
  }

  /** Reserves memory and returns true, or returns false if the budget has too little left. */
  public boolean tryReserve(long bytes) {
    if (bytes > maxBytes - usedBytes || (whole != null && !whole.tryReserve(bytes))) {
      return false;
    }
    usedBytes += bytes;
    return true;
  }

  /**
   * Reserves memory as {@link #tryReserve} does, but only if a share, from 0 to 1, of the budget is
   * left after it.
   */
  public boolean tryReserveLeaving(double share, long bytes) {
    long leftBytes = maxBytes - usedBytes - (long) (share * maxBytes);
    return bytes <= leftBytes && tryReserve(bytes);
  }

  /** Gives reserved memory back. */
  public void release(long bytes) {
    usedBytes -= bytes;
    if (whole != null) {
      whole.release(bytes);
    }
  }

  /** Returns whether at least a share, from 0 to 1, of the budget is reserved. */
  public boolean isUsed(double share) {
    return usedBytes >= share * maxBytes;
  }

  /** Returns how much memory is reserved. */
  public long usedBytes() {
    return usedBytes;
  }
}
