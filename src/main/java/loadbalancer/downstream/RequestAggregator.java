package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.util.function.BooleanSupplier;
import loadbalancer.http.HttpProtocol;
import loadbalancer.net.MemoryBudget;

/**
 * An aggregator of the parts of a request into a complete one. It reserves the memory of the bodies
 * of its connection.
 *
 * <p>The only response it sends itself is {@code 100 Continue}. A request that is too large is
 * passed on as one whose decoding failed, so that its error is sent in order with the other
 * responses.
 */
final class RequestAggregator extends HttpObjectAggregator {

  private final MemoryBudget budget;
  private final BooleanSupplier responsePending;
  private long reservedBytes;

  /**
   * Creates the aggregator of one connection.
   *
   * @param responsePending returns whether an earlier request on the connection still has no
   *     response, which a {@code 100 Continue} would overtake
   */
  RequestAggregator(MemoryBudget budget, BooleanSupplier responsePending) {
    super(HttpProtocol.MAX_BODY_BYTES);
    this.budget = budget;
    this.responsePending = responsePending;
  }

  @Override
  protected Object newContinueResponse(
      HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
    boolean expected =
        HttpUtil.is100ContinueExpected(start)
            && HttpUtil.getContentLength(start, 0L) <= maxContentLength;
    if (!expected || responsePending.getAsBoolean()) {
      return null;
    }
    return super.newContinueResponse(start, maxContentLength, pipeline);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    FullHttpRequest failed =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, HttpProtocol.API_PATH);
    failed.setDecoderResult(
        DecoderResult.failure(new TooLongHttpContentException("request body exceeds its limit")));
    context.fireChannelRead(failed);
  }

  @Override
  protected FullHttpMessage beginAggregation(HttpMessage start, ByteBuf content) throws Exception {
    reserve(content.readableBytes());
    return super.beginAggregation(start, content);
  }

  @Override
  protected void aggregate(FullHttpMessage aggregated, HttpContent content) throws Exception {
    reserve(content.content().readableBytes());
    super.aggregate(aggregated, content);
  }

  private void reserve(int bytes) {
    if (!budget.tryReserve(bytes)) {
      throw new TooLongHttpContentException("the bodies of all requests exceed their memory");
    }
    reservedBytes += bytes;
  }

  /** Returns the bytes of a request body that is no longer in memory to the budget. */
  void release(long bytes) {
    reservedBytes -= bytes;
    budget.release(bytes);
  }

  /** Returns the bytes of all request bodies of the connection to the budget. */
  void releaseAll() {
    release(reservedBytes);
  }
}
