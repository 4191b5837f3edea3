package loadbalancer.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads what the kernel has received before the event loop gets to it. */
public final class PendingReads {

  private PendingReads() {}

  /**
   * Reads what has arrived on a connection, or accepts what is pending on a listener, at once. Must
   * be called on the event loop. Does nothing on channels that are closed or not backed by a
   * socket.
   */
  public static void readNow(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
      unsafe.read();
    }
  }
}
