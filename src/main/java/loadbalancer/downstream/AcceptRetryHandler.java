package loadbalancer.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import loadbalancer.telemetry.LogValues;

/**
 * A handler that resumes accepting shortly after the system failed to accept a connection, for
 * example for lack of descriptors or memory. It takes the place of Netty's own error handling,
 * which would pause for a second. Confined to the event loop.
 */
final class AcceptRetryHandler extends ChannelInboundHandlerAdapter {

  /**
   * Delay before accepting resumes: short compared with every deadline, and long enough to avoid a
   * busy loop while the failure lasts.
   */
  static final long RETRY_DELAY_MILLIS = 10;

  private static final Logger LOG = Logger.getLogger(AcceptRetryHandler.class.getName());

  /** Number of failures since a connection was last accepted. */
  private int consecutiveFailures;

  private long failureCount;

  /** Returns the number of accept calls that have failed. */
  long failureCount() {
    return failureCount;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object accepted) {
    if (consecutiveFailures > 0) {
      LOG.info("accept_recovered failures=" + consecutiveFailures);
      consecutiveFailures = 0;
    }
    context.fireChannelRead(accepted);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failureCount++;
    if (consecutiveFailures++ == 0) {
      LOG.warning("accept_failed reason=" + LogValues.quote(cause.toString()));
    }
    Channel listener = context.channel();
    listener.config().setAutoRead(false);
    listener
        .eventLoop()
        .schedule(
            () -> listener.config().setAutoRead(true), RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
