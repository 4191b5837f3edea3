package loadbalancer.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import loadbalancer.net.InterruptTolerantChannel;

/** A TCP connection that can be checked for data that the event loop has not read yet. */
public final class UpstreamChannel extends InterruptTolerantChannel {

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
