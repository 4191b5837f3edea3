package loadbalancer.http;

import loadbalancer.net.MemoryBudget;

/**
 * The memory that the messages of one side, clients or upstreams, may take.
 *
 * @param bodies memory for bodies, outside the heap
 * @param heads heap for the heads that exceed what each connection is guaranteed; see {@link
 *     HeadMemory}
 */
public record MessageMemory(MemoryBudget bodies, MemoryBudget heads) {

  /** Memory without limits. */
  public static MessageMemory unlimited() {
    return new MessageMemory(new MemoryBudget(Long.MAX_VALUE), new MemoryBudget(Long.MAX_VALUE));
  }
}
