package loadbalancer.net;

import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.TimeUnit;

/**
 * An I/O handler that rounds the selector's timeout up to whole milliseconds. The selector waits in
 * whole milliseconds, and Netty's handler rounds to the nearest: with less than half a millisecond
 * left it polls the sockets repeatedly until the timer is due, which wastes CPU time that a proxy
 * on a fraction of a core needs. In exchange timers fire up to a millisecond late.
 */
public final class RoundingIoHandler extends ForwardingIoHandler {

  private static final long MILLISECOND_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private RoundingContext context;

  private RoundingIoHandler(IoHandler delegate) {
    super(delegate);
  }

  /** Returns a factory of rounding handlers for NIO selectors. */
  public static IoHandlerFactory newFactory() {
    return wrap(NioIoHandler.newFactory());
  }

  /** Returns a factory that wraps the handlers of another factory in rounding handlers. */
  public static IoHandlerFactory wrap(IoHandlerFactory factory) {
    return executor -> new RoundingIoHandler(factory.newHandler(executor));
  }

  @Override
  public int run(IoHandlerContext loopContext) {
    if (context == null || context.delegate != loopContext) {
      context = new RoundingContext(loopContext);
    }
    return super.run(context);
  }

  /** The event loop's context with the delay until the next timer rounded up. */
  private record RoundingContext(IoHandlerContext delegate) implements IoHandlerContext {

    @Override
    public boolean canBlock() {
      return delegate.canBlock();
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      long delay = delegate.delayNanos(currentTimeNanos);
      if (delay <= 0 || delay > Long.MAX_VALUE - MILLISECOND_NANOS) {
        return delay;
      }
      return (delay + MILLISECOND_NANOS - 1) / MILLISECOND_NANOS * MILLISECOND_NANOS;
    }

    @Override
    public long deadlineNanos() {
      return delegate.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      delegate.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return delegate.shouldReportActiveIoTime();
    }
  }
}
