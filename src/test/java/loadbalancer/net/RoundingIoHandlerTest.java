package loadbalancer.net;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoRegistration;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.proxy.ProxyServer;
import loadbalancer.testing.ProxyFixture;
import org.junit.jupiter.api.Test;

/** How the event loop waits. */
class RoundingIoHandlerTest {

  private static final int TIMERS = 200;
  /** A turn that waits, one that finds the timer due, and some of chance. */
  private static final int TURNS_A_TIMER = 6;

  /** Counts the turns of a loop. */
  private record Counting(IoHandler handler, AtomicInteger turns) implements IoHandler {

    @Override
    public int run(IoHandlerContext context) {
      turns.incrementAndGet();
      return handler.run(context);
    }

    @Override
    public void initialize() {
      handler.initialize();
    }

    @Override
    public void prepareToDestroy() {
      handler.prepareToDestroy();
    }

    @Override
    public void destroy() {
      handler.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
      return handler.register(handle);
    }

    @Override
    public void wakeup() {
      handler.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> type) {
      return handler.isCompatible(type);
    }
  }

  /** One that spins through the last half of a millisecond makes hundreds of turns for each of them. */
  @Test
  void aLoopSleepsUntilATimerIsDue() throws Exception {
    AtomicInteger turns = new AtomicInteger();
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1,
        executor -> new Counting(RoundingIoHandler.newFactory().newHandler(executor), turns));
    try {
      CountDownLatch fired = new CountDownLatch(TIMERS);
      // One after the other, at no whole number of milliseconds.
      Runnable timer = new Runnable() {
        @Override
        public void run() {
          fired.countDown();
          if (fired.getCount() > 0) {
            group.next().schedule(this, 1300, TimeUnit.MICROSECONDS);
          }
        }
      };
      group.next().execute(timer);
      assertTrue(fired.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS), "the timers have not all come");
      assertTrue(turns.get() <= TURNS_A_TIMER * TIMERS, turns.get() + " turns for " + TIMERS + " timers");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }
}
