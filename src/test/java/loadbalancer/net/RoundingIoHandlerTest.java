package loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.testing.ProxyFixture;
import org.junit.jupiter.api.Test;

/** Checks that the event loop sleeps until its next timer instead of polling. */
class RoundingIoHandlerTest {

  private static final int TIMERS = 200;

  /** One iteration that waits, one that runs the timer, and some margin. */
  private static final int ITERATIONS_PER_TIMER = 6;

  /** Counts the iterations of an event loop. */
  private static final class CountingIoHandler extends ForwardingIoHandler {

    private final AtomicInteger iterations;

    CountingIoHandler(IoHandler delegate, AtomicInteger iterations) {
      super(delegate);
      this.iterations = iterations;
    }

    @Override
    public int run(IoHandlerContext context) {
      iterations.incrementAndGet();
      return super.run(context);
    }
  }

  /**
   * Polling through the last half millisecond before a timer takes hundreds of iterations for each
   * timer.
   */
  @Test
  void sleepsUntilTimerIsDue() throws Exception {
    AtomicInteger iterations = new AtomicInteger();
    EventLoopGroup group =
        new MultiThreadIoEventLoopGroup(
            1,
            executor ->
                new CountingIoHandler(
                    RoundingIoHandler.newFactory().newHandler(executor), iterations));
    try {
      CountDownLatch fired = new CountDownLatch(TIMERS);
      // Each timer schedules the next one after a delay that is not a whole number of milliseconds.
      Runnable timer =
          new Runnable() {
            @Override
            public void run() {
              fired.countDown();
              if (fired.getCount() > 0) {
                group.next().schedule(this, 1300, TimeUnit.MICROSECONDS);
              }
            }
          };
      group.next().execute(timer);
      assertTrue(
          fired.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS),
          "the timers have not all fired");
      assertTrue(
          iterations.get() <= ITERATIONS_PER_TIMER * TIMERS,
          iterations.get() + " iterations for " + TIMERS + " timers");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
