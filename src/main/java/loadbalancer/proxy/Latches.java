package loadbalancer.proxy;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Waits for latches without checked exceptions. */
final class Latches {

  private Latches() {}

  /** Blocks until the latch is open or the thread is interrupted, which it then still is. */
  static void await(CountDownLatch latch) {
    await(latch, Long.MAX_VALUE);
  }

  /** The same with a limit; returns whether the latch is open. */
  static boolean await(CountDownLatch latch, long nanos) {
    try {
      return latch.await(nanos, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
