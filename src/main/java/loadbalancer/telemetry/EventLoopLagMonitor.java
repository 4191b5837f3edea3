package loadbalancer.telemetry;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.net.MonotonicClock;

/**
 * Measures the lag of the event loop, which is how long a request that is read now may have waited
 * unread in its socket. A client's time-out runs from the last byte of its request, whenever that
 * byte is read, and a response that arrives half a second late is lost. Confined to the event loop.
 */
public final class EventLoopLagMonitor {

  private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final EventLoop loop;
  private final MonotonicClock clock;
  private long lastTickNanos;
  private boolean isTickLate;

  /**
   * Starts a periodic tick on the event loop, which reads its sockets shortly before each tick that
   * is on time.
   */
  public EventLoopLagMonitor(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
    lastTickNanos = clock.nowNanos();
    tick();
  }

  private void tick() {
    // A late tick is recorded only in the loop's next iteration: in this one the sockets may not
    // have been read since the delay.
    isTickLate = !isTickLate && clock.nowNanos() - lastTickNanos > 2 * PERIOD_NANOS;
    if (!isTickLate) {
      lastTickNanos = clock.nowNanos();
    }
    loop.schedule(this::tick, isTickLate ? RETRY_NANOS : PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  /**
   * Returns for how long the event loop's next tick, and with it the reading of its sockets, has
   * been overdue; 0 while the loop is on time.
   */
  public long lagNanos() {
    return Math.max(0, clock.nowNanos() - lastTickNanos - PERIOD_NANOS);
  }
}
