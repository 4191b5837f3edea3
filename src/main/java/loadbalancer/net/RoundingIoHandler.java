package loadbalancer.net;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * An I/O handler that sleeps until the next timer is due. The selector waits in whole milliseconds, and Netty's handler takes the
 * nearest: with less than half of one left it does not sleep but looks at the sockets again and again, for as long as that lasts.
 * Guards the processor time, of which a balancer has a part of a core. A timer comes up to a millisecond late for it.
 */
public final class RoundingIoHandler implements IoHandler {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

  private final IoHandler handler;
  private Patience context;

  private RoundingIoHandler(IoHandler handler) {
    this.handler = handler;
  }

  /** Makes handlers that wait on a selector. */
  public static IoHandlerFactory newFactory() {
    return around(NioIoHandler.newFactory());
  }

  /** Makes such handlers around those of another factory. */
  public static IoHandlerFactory around(IoHandlerFactory factory) {
    return executor -> new RoundingIoHandler(factory.newHandler(executor));
  }

  /** The loop's own view of its timers, with the time to the next one rounded up. */
  private record Patience(IoHandlerContext loop) implements IoHandlerContext {

    @Override
    public boolean canBlock() {
      return loop.canBlock();
    }

    @Override
    public long delayNanos(long now) {
      long delay = loop.delayNanos(now);
      return delay <= 0 || delay > Long.MAX_VALUE - MILLI ? delay : (delay + MILLI - 1) / MILLI * MILLI;
    }

    @Override
    public long deadlineNanos() {
      return loop.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long nanos) {
      loop.reportActiveIoTime(nanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return loop.shouldReportActiveIoTime();
    }
  }

  @Override
  public int run(IoHandlerContext loop) {
    if (context == null || context.loop != loop) {
      context = new Patience(loop);
    }
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
