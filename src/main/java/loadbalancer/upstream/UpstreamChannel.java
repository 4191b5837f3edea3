package loadbalancer.upstream;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A TCP connection that can be checked for data that the event loop has not read yet. */
public final class UpstreamChannel extends NioSocketChannel {

  /**
   * Returns whether the kernel holds neither bytes nor the end of the stream. The check consumes a
   * byte if there is one, so a connection for which it returns false must be closed.
   */
  boolean hasNothingUnread() {
    try {
      return javaChannel().read(ByteBuffer.allocate(1)) == 0;
    } catch (IOException e) {
      return false;
    }
  }
}
