package loadbalancer.telemetry;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.net.MonotonicClock;

/**
 * Measures for how long a request that is read now may have lain unread because the event loop was
 * held up. A client's time runs from its request's last byte, whenever that is read, and a response
 * that comes half a second late is lost. Confined to the event loop.
 */
public final class EventLoopLagMonitor {

  private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final EventLoop loop;
  private final MonotonicClock clock;
  private long lastTickNanos;
  private boolean isTickLate;

  /**
   * Starts to tick on the event loop, which has read its sockets shortly before each tick that is
   * in time.
   */
  public EventLoopLagMonitor(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
    lastTickNanos = clock.nowNanos();
    tick();
  }

  private void tick() {
    // A late tick counts from the next turn on only: in this one the sockets may not have been read
    // since.
    isTickLate = !isTickLate && clock.nowNanos() - lastTickNanos > 2 * PERIOD_NANOS;
    if (!isTickLate) {
      lastTickNanos = clock.nowNanos();
    }
    loop.schedule(this::tick, isTickLate ? RETRY_NANOS : PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  /**
   * How long ago the event loop should have read its sockets and did not; 0 where it is in time.
   */
  public long lagNanos() {
    return Math.max(0, clock.nowNanos() - lastTickNanos - PERIOD_NANOS);
  }
}
