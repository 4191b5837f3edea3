package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;

/**
 * Marks a response with status 200 as failed if it has neither a content length nor a chunked body,
 * unless the upstream has ended the connection in order. Only that marks the end of such a body:
 * after a reset, or a close on this side, a truncated body could not be distinguished from a
 * complete one.
 */
final class ResponseFramingCheck extends ChannelInboundHandlerAdapter {

  /** True while the body of the response being read ends with the connection. */
  private boolean endsWithConnection;

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpResponse response) {
      endsWithConnection =
          response.status().equals(HttpResponseStatus.OK)
              && !HttpUtil.isContentLengthSet(response)
              && !HttpUtil.isTransferEncodingChunked(response);
    }
    if (endsWithConnection
        && message instanceof LastHttpContent
        && !hasEndedInOrder(context.channel())) {
      ReferenceCountUtil.release(message);
      context.fireChannelRead(newTruncatedEnd());
    } else {
      context.fireChannelRead(message);
    }
  }

  private static boolean hasEndedInOrder(Channel channel) {
    return channel instanceof UpstreamChannel upstream && upstream.hasReadEndOfStream();
  }

  private static LastHttpContent newTruncatedEnd() {
    LastHttpContent end = new DefaultLastHttpContent();
    end.setDecoderResult(
        DecoderResult.failure(new IOException("the connection broke within the response body")));
    return end;
  }
}
