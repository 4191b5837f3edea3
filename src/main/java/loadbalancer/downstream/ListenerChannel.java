package loadbalancer.downstream;

import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The listening socket. It knows how long the connections that it accepts may have waited. */
public final class ListenerChannel extends NioServerSocketChannel {

  /** The queue is surely empty of what waited so long after accepting has recovered. */
  private static final long RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** When accepting failed for the first time since the queue was empty; 0 if it did not. */
  private long failingSinceNanos;

  /** When it succeeded again; 0 if it has not yet. */
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
      // The queue was never seen empty: as many waited in it as are accepted in one turn.
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
