package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/**
 * Sees the bytes of responses before they are decoded. Bytes that belong to no call, which would be
 * taken for the response to the next one, or that do not begin like a response end the connection;
 * so does a response that has started and does not complete in time, for which the client would
 * otherwise wait until its own deadline.
 */
final class ResponseStartCheck extends ChannelInboundHandlerAdapter {

  /** What every response begins with. */
  private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

  /**
   * How long a response may take from its first byte to its last, in milliseconds. One that is not
   * complete by then has a head without an end or a length that does not fit its body.
   */
  private static final long COMPLETION_TIMEOUT_MILLIS = 300;

  private final UpstreamConnection connection;
  private final ResponseDecoder decoder;

  /** How many bytes of the current response have been compared with its expected start. */
  private int matchedBytes;

  private Future<?> completionTimeout;

  ResponseStartCheck(UpstreamConnection connection, ResponseDecoder decoder) {
    this.connection = connection;
    this.decoder = decoder;
  }

  /** Returns whether a response has started and has not been decoded yet. */
  boolean hasStarted() {
    return matchedBytes > 0;
  }

  /** Prepares for the next response. */
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
      if (connection.hasCall() && !hasStarted() && decoder.hasPartialResponse()) {
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
    if (connection.hasCall() && hasStarted() && completionTimeout == null) {
      completionTimeout =
          context
              .channel()
              .eventLoop()
              .schedule(connection::abort, COMPLETION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
