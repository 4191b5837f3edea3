package loadbalancer.upstream;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;

/**
 * Marks a response with status 200 as failed if it has neither a content length nor a chunked body.
 * Without either, only the end of the connection marks the end of the body. A crash of the upstream
 * ends the connection as well, so a truncated body could not be distinguished from a complete one.
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
