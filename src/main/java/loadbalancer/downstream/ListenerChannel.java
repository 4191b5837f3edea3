package loadbalancer.downstream;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The listening socket. It determines how long each connection may have waited to be accepted
 * because accepting failed.
 */
public final class ListenerChannel extends NioServerSocketChannel {

  /**
   * Time after the first successful accept call within which all connections that waited in the
   * queue are accepted.
   */
  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * {@code System.nanoTime} of the first failed accept call since the queue was empty; 0 for none.
   */
  private long failingSinceNanos;

  /** {@code System.nanoTime} of the first successful accept call after that; 0 for none yet. */
  private long recoveredAtNanos;

  @Override
  protected int doReadMessages(List<Object> accepted) throws IOException {
    SocketChannel socket = accept();
    if (socket == null) {
      failingSinceNanos = 0;
      return 0;
    }
    accepted.add(new ClientChannel(this, socket, acceptDelayNanos(System.nanoTime())));
    return 1;
  }

  private long acceptDelayNanos(long nowNanos) {
    if (failingSinceNanos == 0) {
      return 0;
    }
    recoveredAtNanos = recoveredAtNanos == 0 ? nowNanos : recoveredAtNanos;
    if (nowNanos - recoveredAtNanos > RECOVERY_NANOS) {
      // All connections that waited are accepted by now; new ones kept the queue from being empty.
      failingSinceNanos = 0;
      return 0;
    }
    return nowNanos - failingSinceNanos;
  }

  private SocketChannel accept() throws IOException {
    try {
      return javaChannel().accept();
    } catch (IOException e) {
      failingSinceNanos = failingSinceNanos == 0 ? System.nanoTime() : failingSinceNanos;
      recoveredAtNanos = 0;
      throw e;
    }
  }
}
