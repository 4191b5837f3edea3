package loadbalancer.telemetry;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import loadbalancer.net.MonotonicClock;

/**
 * How long what is read now may have lain unread because the event loop was held up. Guards the deadlines: a client's time runs
 * from its request's last byte, whenever that is read, and an answer half a second late is lost.
 */
public final class EventLoopLagMonitor {

  private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
  private static final long AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final EventLoop loop;
  private final MonotonicClock clock;
  private long beatAt;
  private boolean late;

  /** The loop beats from now on: it has looked at its sockets shortly before each beat. */
  public EventLoopLagMonitor(EventLoop loop, MonotonicClock clock) {
    this.loop = loop;
    this.clock = clock;
    beatAt = clock.nowNanos();
    beat();
  }

  private void beat() {
    // A beat that was held up counts from the next turn on only: in this one the sockets may not have been looked at since.
    late = !late && clock.nowNanos() - beatAt > 2 * PERIOD_NANOS;
    if (!late) {
      beatAt = clock.nowNanos();
    }
    loop.schedule(this::beat, late ? AGAIN_NANOS : PERIOD_NANOS, TimeUnit.NANOSECONDS);
  }

  /** So long ago the loop should have looked at its sockets and did not; 0 where it is in time. */
  public long lagNanos() {
    return Math.max(0, clock.nowNanos() - beatAt - PERIOD_NANOS);
  }
}
