package loadbalancer.upstream;

import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.http.BodyAggregator;
import loadbalancer.http.BodyOverflow;
import loadbalancer.net.MemoryBudget;

/**
 * An aggregator of the parts of a response into a complete one. One without memory fails at once,
 * as its connection is closed anyway.
 */
final class ResponseAggregator extends BodyAggregator {

  /**
   * Creates the aggregator of one connection.
   *
   * @param bodyBudget memory for response bodies
   */
  ResponseAggregator(MemoryBudget bodyBudget) {
    super(bodyBudget, BodyOverflow.FAIL_AT_ONCE);
  }

  @Override
  protected FullHttpMessage newMessageWithoutBody() {
    return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
  }
}
