package loadbalancer.downstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import loadbalancer.telemetry.LogValues;

/**
 * Accepts again soon after the system could not accept a connection, for want of descriptors or
 * memory say. It stands before Netty's own handler, which would wait for a second. Confined to the
 * event loop.
 */
final class AcceptRetryHandler extends ChannelInboundHandlerAdapter {

  /** Short against every deadline, and long enough not to spin while the failure lasts. */
  static final long RETRY_DELAY_MILLIS = 10;

  private static final Logger LOG = Logger.getLogger(AcceptRetryHandler.class.getName());

  /** Failures since a connection was accepted. */
  private int consecutiveFailures;

  private long failures;

  /** The number of calls that have failed. */
  long failures() {
    return failures;
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
    failures++;
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
