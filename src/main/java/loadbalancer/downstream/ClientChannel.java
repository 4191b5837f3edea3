package loadbalancer.downstream;

import io.netty.channel.Channel;
import java.nio.channels.SocketChannel;
import loadbalancer.net.InterruptTolerantChannel;

/** A connection that a client has made. */
final class ClientChannel extends InterruptTolerantChannel {

  private final long acceptDelayNanos;

  /**
   * Takes over a connection that a listener has accepted.
   *
   * @param acceptDelayNanos how long it may have waited for that because accepting failed
   */
  ClientChannel(Channel listener, SocketChannel socket, long acceptDelayNanos) {
    super(listener, socket);
    this.acceptDelayNanos = acceptDelayNanos;
  }

  /** How long a client's connection may have waited because accepting failed; 0 for others. */
  static long acceptDelayNanos(Channel channel) {
    return channel instanceof ClientChannel client ? client.acceptDelayNanos : 0;
  }
}
