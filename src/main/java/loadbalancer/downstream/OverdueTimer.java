package loadbalancer.downstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * The one timer of a connection for its queued requests, however many are queued. Confined to the
 * event loop.
 */
final class OverdueTimer {

  private final EventLoop loop;
  private final LongSupplier nowNanos;
  private final Runnable check;
  private Future<?> timer;
  private long dueNanos;

  /**
   * Creates a timer that is not set.
   *
   * @param nowNanos returns the current clock reading
   * @param check runs when the timer fires
   */
  OverdueTimer(EventLoop loop, LongSupplier nowNanos, Runnable check) {
    this.loop = loop;
    this.nowNanos = nowNanos;
    this.check = check;
  }

  /** Sets the timer to a clock reading, unless it fires before. */
  void fireBy(long nanos) {
    if (timer != null && dueNanos <= nanos) {
      return;
    }
    cancel();
    dueNanos = nanos;
    timer = loop.schedule(this::fire, nanos - nowNanos.getAsLong(), TimeUnit.NANOSECONDS);
  }

  /** Ends the timer, if it is set. */
  void cancel() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }

  private void fire() {
    timer = null;
    check.run();
  }
}
