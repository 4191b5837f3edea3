package loadbalancer.downstream;

import io.netty.channel.Channel;
import java.nio.channels.SocketChannel;
import loadbalancer.net.InterruptTolerantChannel;

/** A client connection that a {@link ListenerChannel} has accepted. */
final class ClientChannel extends InterruptTolerantChannel {

  private final long acceptDelayNanos;

  /**
   * Wraps the socket of a connection that a listener has accepted.
   *
   * @param acceptDelayNanos the longest time that the connection may have waited to be accepted
   *     because accepting failed
   */
  ClientChannel(Channel listener, SocketChannel socket, long acceptDelayNanos) {
    super(listener, socket);
    this.acceptDelayNanos = acceptDelayNanos;
  }

  /**
   * Returns how long a client connection may have waited because accepting failed, or 0 for any
   * other channel.
   */
  static long acceptDelayNanos(Channel channel) {
    return channel instanceof ClientChannel client ? client.acceptDelayNanos : 0;
  }
}
