package loadbalancer.upstream;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.http.BodyAggregator;
import loadbalancer.net.MemoryBudget;

/** An aggregator of the parts of a response into a complete one. */
final class ResponseAggregator extends BodyAggregator {

  /**
   * Creates the aggregator of one connection.
   *
   * @param bodyBudget memory for response bodies
   */
  ResponseAggregator(MemoryBudget bodyBudget) {
    super(bodyBudget);
  }

  @Override
  protected FullHttpMessage newMessageWithoutBody() {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
  }
}
