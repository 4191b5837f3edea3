package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Checks the received bytes before they are decoded. Closes the connection if bytes arrive while it
 * has no call, as they would be taken for the response to the next call, or if they do not start
 * like a response. Also closes it if a response that has started does not complete in time, as the
 * client would otherwise wait until its own deadline.
 */
final class ResponseStartCheck extends ChannelInboundHandlerAdapter {

  /** The first bytes of every response. */
  private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /**
   * The maximum time from the first byte of a response to its last. A response that is incomplete
   * by then has an unterminated header section or a length that does not match its body.
   */
  private static final long COMPLETION_TIMEOUT_MILLIS = 300;

  private final UpstreamConnection connection;
  private final ResponseDecoder decoder;

  /** The number of bytes of the current response that match {@link #RESPONSE_START}. */
  private int matchedBytes;

  private Future<?> completionTimeout;

  ResponseStartCheck(UpstreamConnection connection, ResponseDecoder decoder) {
    this.connection = connection;
    this.decoder = decoder;
  }

  /** Returns whether a response has started and is not yet complete. */
  boolean hasResponseStarted() {
    return matchedBytes > 0;
  }

  /** Ends the current response, if any, and cancels its timeout. */
  void reset() {
    matchedBytes = 0;
    decoder.responseEnded();
    if (completionTimeout != null) {
      completionTimeout.cancel(false);
      completionTimeout = null;
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    if (connection.hasCall() && matchesStart(bytes)) {
      context.fireChannelRead(bytes);
      if (connection.hasCall() && !hasResponseStarted() && decoder.hasPartialResponse()) {
        // An informational response ended within these bytes, and the next response has started.
        matchedBytes = RESPONSE_START.length;
      }
    } else {
      bytes.release();
      connection.rejectUnexpectedBytes();
    }
  }

  private boolean matchesStart(ByteBuf bytes) {
    int compared = 0;
    while (matchedBytes < RESPONSE_START.length && compared < bytes.readableBytes()) {
      if (bytes.getByte(bytes.readerIndex() + compared) != RESPONSE_START[matchedBytes]) {
        return false;
      }
      matchedBytes++;
      compared++;
    }
    return true;
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    context.fireChannelReadComplete();
    if (connection.hasCall() && hasResponseStarted() && completionTimeout == null) {
      completionTimeout =
          context
              .channel()
              .eventLoop()
              .schedule(connection::abort, COMPLETION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
