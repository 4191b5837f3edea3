package loadbalancer.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads ahead of the event loop. */
public final class PendingReads {

  private PendingReads() {}

  /**
   * Reads what has arrived on a connection, or accepts what waits at a listener, without waiting for the event loop's next
   * turn. To be called on the event loop.
   */
  public static void readNow(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
      unsafe.read();
    }
  }
}
