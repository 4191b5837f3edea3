package loadbalancer.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits on latches without checked exceptions. */
final class Latches {

  private Latches() {}

  /**
   * Blocks until the latch reaches zero or the thread is interrupted, and keeps the interrupt
   * status.
   */
  static void await(CountDownLatch latch) {
    await(latch, Long.MAX_VALUE);
  }

  /**
   * Blocks until the latch reaches zero, the time has passed or the thread is interrupted, and
   * keeps the interrupt status. Returns whether the latch has reached zero.
   */
  static boolean await(CountDownLatch latch, long nanos) {
    try {
      return latch.await(nanos, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
