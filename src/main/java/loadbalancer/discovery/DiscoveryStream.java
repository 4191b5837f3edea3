package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import loadbalancer.json.JsonFields;
import loadbalancer.json.MalformedInputException;
import loadbalancer.net.PendingReads;

/**
 * One call to discovery on its own connection: either a fetch, which ends with its response, or a
 * watch, whose response must not end. A stream is delayed at most once and fails at most once, and
 * reports nothing after it has failed or been stopped. All methods must be called on the event
 * loop.
 */
final class DiscoveryStream extends SimpleChannelInboundHandler<HttpObject> {

  /** Receives the events of a stream. All methods may stop the stream and open others. */
  interface Listener {

    /** Called when a list has been received. */
    void listReceived(DiscoveryStream stream, EndpointList list);

    /**
     * Called when the time for the first list is over. The stream stays open and may yet get it.
     */
    void delayed(DiscoveryStream stream);

    /**
     * Called when the stream has failed and closed its connection.
     *
     * @param detail further information for the log; null if there is none
     */
    void failed(DiscoveryStream stream, DiscoveryFailure failure, String detail);
  }

  private static final JsonFactory JSON = new JsonFactory();

  private final Bootstrap bootstrap;
  private final DiscoveryRequest request;
  private final StreamLimits limits;
  private final Listener listener;
  private final EndpointListFramer framer = new EndpointListFramer();
  private Channel channel;
  private Future<?> limitCheck;
  private boolean isDelayReported;
  private boolean hasEnded;

  /** Creates a call that has not been opened. */
  DiscoveryStream(
      Bootstrap bootstrap, DiscoveryRequest request, StreamLimits limits, Listener listener) {
    this.bootstrap = bootstrap;
    this.request = request;
    this.limits = limits;
    this.listener = listener;
  }

  /** Connects and sends the request. */
  void open() {
    ChannelFuture connect =
        bootstrap.clone().handler(new PipelineInitializer()).connect(request.address());
    if (connect.isDone() && !connect.isSuccess()) {
      // No socket could be opened. Netty would notify a listener on a thread other than the loop's.
      eventLoop().execute(() -> fail(DiscoveryFailure.NO_SOCKET, null));
      return;
    }
    channel = connect.channel();
    long interval = DiscoveryTimeouts.CHECK_INTERVAL_MILLIS;
    limitCheck =
        eventLoop()
            .scheduleWithFixedDelay(this::checkLimits, interval, interval, TimeUnit.MILLISECONDS);
    connect.addListener(
        future -> {
          if (future.isSuccess()) {
            sendRequest();
          } else {
            fail(DiscoveryFailure.CONNECT_FAILED, null);
          }
        });
  }

  private EventLoop eventLoop() {
    return bootstrap.config().group().next();
  }

  private void sendRequest() {
    channel.writeAndFlush(request.toHttp());
    limits.requestSent();
  }

  /** Ends the call without notifying the listener. */
  void stop() {
    hasEnded = true;
    if (channel != null) {
      limitCheck.cancel(false);
      channel.close();
    }
  }

  /** Returns whether at least one list has been received. */
  boolean hasReceivedList() {
    return limits.hasReceivedList();
  }

  private void fail(DiscoveryFailure failure, String detail) {
    if (!hasEnded) {
      stop();
      listener.failed(this, failure, detail);
    }
  }

  private void checkLimits() {
    if (!isDelayDue() && limits.exceededLimit() == null) {
      return;
    }
    // Data may have arrived that a lagging event loop has not read yet.
    PendingReads.readNow(channel);
    DiscoveryFailure exceeded = limits.exceededLimit();
    if (exceeded != null) {
      fail(exceeded, null);
    } else if (!hasEnded && isDelayDue()) {
      isDelayReported = true;
      listener.delayed(this);
    }
  }

  private boolean isDelayDue() {
    return !isDelayReported && limits.isDelayed();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    limits.received();
    if (message instanceof HttpResponse response
        && !response.status().equals(HttpResponseStatus.OK)) {
      fail(DiscoveryFailure.UNEXPECTED_STATUS, Integer.toString(response.status().code()));
    } else if (!message.decoderResult().isSuccess()) {
      fail(DiscoveryFailure.MALFORMED_RESPONSE, null);
    } else if (message instanceof HttpContent content) {
      contentReceived(context, content);
    }
  }

  private void contentReceived(ChannelHandlerContext context, HttpContent content) {
    context.fireChannelRead(content.content().retain());
    limits.setWithinList(framer.isWithinList());
    if (content instanceof LastHttpContent) {
      responseEnded();
    }
  }

  private void responseEnded() {
    if (limits.hasReceivedList() && !request.isWatch()) {
      stop();
    }
    fail(DiscoveryFailure.STREAM_ENDED, null);
  }

  private void listReceived(String text) {
    if (hasEnded) {
      return;
    }
    limits.listCompleted();
    EndpointList list;
    try {
      list = EndpointListParser.parse(JsonFields.parse(JSON, "list", text));
    } catch (MalformedInputException e) {
      fail(DiscoveryFailure.MALFORMED_LIST, e.getMessage());
      return;
    }
    limits.listAccepted();
    listener.listReceived(this, list);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(DiscoveryFailure.CONNECTION_LOST, null);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    boolean isConnectionLost = cause instanceof IOException;
    fail(
        isConnectionLost ? DiscoveryFailure.CONNECTION_LOST : DiscoveryFailure.INTERNAL_ERROR,
        cause.toString());
  }

  /** Adds the HTTP codec, the stream, the framer and the receiver of complete lists. */
  private final class PipelineInitializer extends ChannelInitializer<Channel> {
    @Override
    protected void initChannel(Channel created) {
      created
          .pipeline()
          .addLast(new HttpClientCodec(), DiscoveryStream.this, framer, new ListReceiver());
    }
  }

  /** The last handler in the pipeline. Receives the framed lists and the framer's exceptions. */
  private final class ListReceiver extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf text) {
      listReceived(text.toString(StandardCharsets.UTF_8));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      boolean isFramingError = cause instanceof DecoderException;
      fail(
          isFramingError ? DiscoveryFailure.MALFORMED_LIST : DiscoveryFailure.INTERNAL_ERROR,
          cause.toString());
    }
  }
}
