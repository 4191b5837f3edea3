package loadbalancer.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;

/**
 * Marks a 200 that has neither a length nor chunks as failed. Only the end of the connection would
 * mark the end of its body, and a process that dies ends it in the same way: a body cut short could
 * not be told from a complete one.
 */
final class ResponseFramingCheck extends ChannelInboundHandlerAdapter {

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response
        && response.status().equals(HttpResponseStatus.OK)
        && !HttpUtil.isContentLengthSet(response)
        && !HttpUtil.isTransferEncodingChunked(response)) {
      response.setDecoderResult(
          DecoderResult.failure(new IOException("response body without a length")));
    }
    context.fireChannelRead(message);
  }
}
