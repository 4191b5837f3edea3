package loadbalancer.downstream;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.function.BooleanSupplier;
import loadbalancer.http.BodyAggregator;
import loadbalancer.http.BodyOverflow;
import loadbalancer.http.HttpProtocol;
import loadbalancer.net.MemoryBudget;

/**
 * An aggregator of the parts of a request into a complete one. One without memory is read to its
 * end, as others that have to be responded to may follow it.
 *
 * <p>The only response it sends itself is {@code 100 Continue}. The error for a request that is too
 * large is sent in order with the other responses.
 */
final class RequestAggregator extends BodyAggregator {

  private final BooleanSupplier responsePending;

  /**
   * Creates the aggregator of one connection.
   *
   * @param bodyBudget memory for request bodies
   * @param responsePending returns whether an earlier request on the connection still has no
   *     response, which a {@code 100 Continue} would overtake
   */
  RequestAggregator(MemoryBudget bodyBudget, BooleanSupplier responsePending) {
    super(bodyBudget, BodyOverflow.READ_TO_END);
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
  protected FullHttpMessage newMessageWithoutBody() {
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, HttpProtocol.API_PATH);
  }
}
