package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.nio.ByteBuffer;
import loadbalancer.net.InterruptTolerantChannel;

/**
 * A TCP connection that tells how the peer has ended it, and can be checked for data that the event
 * loop has not read yet.
 */
public final class UpstreamChannel extends InterruptTolerantChannel {

  private boolean hasReadEndOfStream;

  /** Returns whether the peer has ended its sending, and neither side has reset the connection. */
  boolean hasReadEndOfStream() {
    return hasReadEndOfStream;
  }

  @Override
  protected int doReadBytes(ByteBuf buffer) throws Exception {
    int count = super.doReadBytes(buffer);
    hasReadEndOfStream |= count == END_OF_STREAM;
    return count;
  }

  /**
   * Returns whether neither bytes nor the end of the stream are waiting to be read. The check
   * consumes a byte if there is one, so the connection must be closed if it returns false.
   */
  boolean hasNothingUnread() {
    try {
      return readUninterrupted(() -> javaChannel().read(ByteBuffer.allocate(1))) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
