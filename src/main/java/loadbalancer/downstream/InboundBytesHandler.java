package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * A handler that tracks the decoding of a connection's bytes, and drops the bytes of discarded
 * input.
 */
final class InboundBytesHandler extends ChannelInboundHandlerAdapter {

  private final ClientConnection connection;
  private final ClientInput input;

  InboundBytesHandler(ClientConnection connection, ClientInput input) {
    this.connection = connection;
    this.input = input;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (input.beginDecoding(bytes.readableBytes())) {
      context.fireChannelRead(bytes);
      input.endDecoding();
      connection.bytesDecoded();
    } else {
      bytes.release();
    }
  }
}
