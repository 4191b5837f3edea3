package loadbalancer.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import loadbalancer.http.HttpProtocol;

/**
 * Aggregates the parts of a response into a full response. Replaces a response whose body is too
 * large by a failed one without a body.
 */
final class ResponseAggregator extends HttpObjectAggregator {

  ResponseAggregator() {
    super(HttpProtocol.MAX_BODY_BYTES);
  }

  @Override
  protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
    FullHttpResponse failed =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_GATEWAY);
    failed.setDecoderResult(
        DecoderResult.failure(
            new TooLongHttpContentException(
                "response body larger than " + HttpProtocol.MAX_BODY_BYTES + " bytes")));
    context.fireChannelRead(failed);
  }
}
