package loadbalancer.soak;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;

/** Helper methods for sockets on the loopback interface. */
final class Sockets {

  /** Lowest port to allocate. The range lies below the ephemeral ports of outgoing connections. */
  private static final int LOWEST_PORT = 15_000;

  private static final int HIGHEST_PORT = 30_000;

  /** Ports that were allocated, some of which may not have a listener yet. */
  private static final Set<Integer> ALLOCATED_PORTS = ConcurrentHashMap.newKeySet();

  private Sockets() {}

  /** Closes a connection with a reset. */
  static void reset(Channel channel) {
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    } catch (ChannelException e) {
      // The peer has already reset the connection.
    }
    channel.close();
  }

  /**
   * Listens on a port of the loopback interface, or on any free port if it is 0. The initializer is
   * called for each accepted connection.
   */
  static Channel listen(EventLoop loop, int port, Consumer<Channel> initializer) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                initializer.accept(channel);
              }
            })
        .bind("127.0.0.1", port)
        .syncUninterruptibly()
        .channel();
  }

  /**
   * Returns a port that has no listener, is outside the range of ephemeral ports and has not been
   * returned before.
   */
  static int freePort() {
    while (true) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
      if (!ALLOCATED_PORTS.add(port)) {
        continue;
      }
      try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return probe.getLocalPort();
      } catch (IOException e) {
        // The port is in use; try another one.
        continue;
      }
    }
  }
}
