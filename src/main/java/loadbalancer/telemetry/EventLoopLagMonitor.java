package loadbalancer.telemetry;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.net.MonotonicClock;

/**
 * Measures the lag of the event loop, which is how long a request that is read now may have waited
 * unread in its socket. A client's time-out runs from the last byte of its request, whenever that
 * byte is read, so the lag counts against the request's deadline; a response that is half a second
 * late counts as lost. Confined to the event loop.
 */
public final class EventLoopLagMonitor {

  private static final long TICK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** The time from a late tick to the next one. */
  private static final long LATE_TICK_RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final EventLoop loop;
  private final MonotonicClock clock;
  private long lastTickNanos;
  private boolean isTickLate;

  /**
   * Starts a periodic tick on the event loop. The loop reads its sockets before it runs the timers
   * that are due, so a tick on time shows that no request has waited unread for long.
   */
  public EventLoopLagMonitor(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
    lastTickNanos = clock.nowNanos();
    tick();
  }

  private void tick() {
    // After a late tick the lag stays until the next tick, in a later iteration of the loop, as
    // the sockets may not have been read since the delay.
    isTickLate = !isTickLate && clock.nowNanos() - lastTickNanos > 2 * TICK_PERIOD_NANOS;
    if (!isTickLate) {
      lastTickNanos = clock.nowNanos();
    }
    loop.schedule(
        this::tick, isTickLate ? LATE_TICK_RECHECK_NANOS : TICK_PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  /**
   * Returns for how long the event loop's next tick, and with it the reading of its sockets, has
   * been overdue; 0 while the loop is on time.
   */
  public long lagNanos() {
    return Math.max(0, clock.nowNanos() - lastTickNanos - TICK_PERIOD_NANOS);
  }
}
