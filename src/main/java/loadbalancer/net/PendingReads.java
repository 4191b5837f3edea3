package loadbalancer.net;

import io.netty.channel.Channel;
import io.netty.channel.nio.AbstractNioChannel;

/** Reads data that the kernel has received, ahead of the event loop. */
public final class PendingReads {

  private PendingReads() {}

  /**
   * Reads the data that has arrived on a connection, or accepts the connections that are pending on
   * a listener, without waiting for the selector. Must be called on the event loop. Does nothing on
   * channels that are closed or not backed by a socket.
   */
  public static void readNow(Channel channel) {
    if (channel.isActive() && channel.unsafe() instanceof AbstractNioChannel.NioUnsafe unsafe) {
      unsafe.read();
    }
  }
}
