package loadbalancer.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.List;
import loadbalancer.net.MemoryBudget;

/**
 * An aggregator of the parts of a message into a complete one. A message whose body is too large,
 * or for whose body no memory is left, is replaced by one without a body whose decoding failed.
 * Further parts of it have to be ignored, except after a body that was read to its end.
 */
public abstract class BodyAggregator extends HttpObjectAggregator {

  private final MemoryBudget budget;
  private final BodyOverflow overflow;

  /**
   * Creates the aggregator of one connection.
   *
   * @param budget memory for bodies
   * @param overflow what happens to messages for whose bodies it is too little
   */
  protected BodyAggregator(MemoryBudget budget, BodyOverflow overflow) {
    super(HttpProtocol.MAX_BODY_BYTES);
    this.budget = budget;
    this.overflow = overflow;
  }

  /** Returns a new message without a body, which is marked as failed and passed on. */
  protected abstract FullHttpMessage newMessageWithoutBody();

  @Override
  protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
    if (!(content instanceof CompositeByteBuf)) {
      // The head could not be decoded, and no parts follow.
      return super.beginAggregation(start, content);
    }
    long expectedBytes = HttpUtil.getContentLength(start, (long) HttpProtocol.MAX_BODY_BYTES);
    BodyBuffer body = new BodyBuffer(content.alloc(), budget, expectedBytes, overflow);
    body.addComponent(true, content);
    return super.beginAggregation(start, body);
  }

  @Override
  protected void decode(ChannelHandlerContext context, HttpObject part, List<Object> out)
      throws Exception {
    try {
      super.decode(context, part, out);
      out.forEach(BodyAggregator::failIfBodyIsDropped);
    } catch (TooLongHttpContentException | MessageMemoryException e) {
      out.add(failedMessage(e));
    }
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    context.fireChannelRead(
        failedMessage(
            new TooLongHttpContentException(
                "body larger than " + HttpProtocol.MAX_BODY_BYTES + " bytes")));
  }

  private static void failIfBodyIsDropped(Object message) {
    if (message instanceof FullHttpMessage complete
        && complete.content() instanceof BodyBuffer body
        && body.isDropped()) {
      complete.setDecoderResult(DecoderResult.failure(MessageMemoryException.forDroppedBody()));
    }
  }

  private FullHttpMessage failedMessage(CodecException cause) {
    FullHttpMessage failed = newMessageWithoutBody();
    failed.setDecoderResult(DecoderResult.failure(cause));
    return failed;
  }
}
