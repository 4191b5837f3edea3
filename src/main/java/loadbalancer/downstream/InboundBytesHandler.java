package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * A handler that tracks the decoding of a connection's bytes, and drops the bytes of discarded
 * input.
 */
final class InboundBytesHandler extends ChannelInboundHandlerAdapter {

  /** A buffer that is this many times larger than the bytes in it is replaced. */
  private static final int MIN_EXCESS_FACTOR = 4;

  private final ClientConnection connection;
  private final ClientInput input;

  InboundBytesHandler(ClientConnection connection, ClientInput input) {
    this.connection = connection;
    this.input = input;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf received = (ByteBuf) message;
    boolean fillsBuffer = !received.isWritable();
    ByteBuf bytes = fitted(received);
    if (input.beginDecoding(bytes.readableBytes(), fillsBuffer)) {
      context.fireChannelRead(bytes);
      input.endDecoding();
      connection.bytesDecoded();
    } else {
      bytes.release();
    }
  }

  /**
   * Returns a buffer of about the size of the bytes in place of a much larger one, as the decoder
   * keeps it until the line that is in it is complete.
   */
  private static ByteBuf fitted(ByteBuf bytes) {
    int count = bytes.readableBytes();
    if (count > bytes.capacity() / MIN_EXCESS_FACTOR) {
      return bytes;
    }
    try {
      return bytes.alloc().buffer(count).writeBytes(bytes);
    } finally {
      bytes.release();
    }
  }
}
