package loadbalancer.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.nio.channels.SocketChannel;

/**
 * A TCP connection that repeats reads interrupted by a signal (EINTR). The Java virtual machine
 * returns a negative count for such a read of a non-blocking socket, which Netty takes for the end
 * of the stream.
 */
public class InterruptTolerantChannel extends NioSocketChannel {

  /** The result of {@link SocketChannel#read} at the end of the stream. */
  protected static final int END_OF_STREAM = -1;

  /**
   * The number of interrupted reads in a row after which the event loop's next iteration reads
   * again.
   */
  private static final int MAX_INTERRUPTED_READS = 64;

  /** A read from a connection that returns a byte count as {@link SocketChannel#read} does. */
  @FunctionalInterface
  protected interface Read<E extends Exception> {
    /** Reads once and returns the byte count. */
    int read() throws E;
  }

  /** Creates a channel that is not connected yet. */
  public InterruptTolerantChannel() {}

  /** Creates a channel for a connection that a listener has accepted. */
  public InterruptTolerantChannel(Channel parent, SocketChannel socket) {
    super(parent, socket);
  }

  @Override
  protected int doReadBytes(ByteBuf buffer) throws Exception {
    return readUninterrupted(() -> super.doReadBytes(buffer));
  }

  /** Repeats a read while it is interrupted; returns 0 after too many interruptions in a row. */
  protected static <E extends Exception> int readUninterrupted(Read<E> read) throws E {
    for (int i = 0; i < MAX_INTERRUPTED_READS; i++) {
      int count = read.read();
      if (count >= END_OF_STREAM) {
        return count;
      }
    }
    return 0;
  }
}
