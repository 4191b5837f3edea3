package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.logging.Level;
import java.util.logging.Logger;
import loadbalancer.downstream.ClientConnections.State;

/**
 * One client connection. It serves one request at a time; pipelined ones wait their turn.
 *
 * <p>It owns the connection's channel and its entry in {@link ClientConnections}, and closes both.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest>
    implements ResponseSink {

  private static final Logger LOG = Logger.getLogger(ClientConnection.class.getName());

  /**
   * A request that waits for its turn longer than this beyond its deadline gets its response at the
   * expense of the one before it. Within half a second it only earns nothing.
   */
  private static final long OVERDUE_GRACE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private final Channel channel;
  private final RequestHandler handler;
  private final RequestRouter router;
  private final ClientConnections connections;
  private final ListenerState listenerState;
  private final ClientInput input;
  private final RequestAggregator aggregator;
  private final PipelinedRequests pipelined;

  /** A request, or an error, on this connection still has no response written. */
  private boolean responsePending;

  /** The request that the handler has accepted and not responded to; null for none. */
  private DownstreamRequest currentRequest;

  /** Bytes of the body of the request being served. */
  private int currentBodyBytes;

  /** Whether the client of the request being served wants the connection kept alive. */
  private boolean keepAlive;

  /** The client has ended its sending. */
  private boolean halfClosed;

  ClientConnection(
      Channel channel,
      RequestHandler handler,
      RequestRouter router,
      ClientConnections connections,
      ListenerState listenerState,
      BodyBudget bodyBudget) {
    this.channel = channel;
    this.handler = handler;
    this.router = router;
    this.connections = connections;
    this.listenerState = listenerState;
    input = new ClientInput(channel);
    pipelined = new PipelinedRequests(bodyBudget);
    aggregator = new RequestAggregator(bodyBudget, () -> responsePending);
  }

  /** Fills the pipeline of the connection's channel. */
  void addHandlers() {
    channel
        .pipeline()
        .addLast(
            new InboundBytesHandler(this, input),
            input.decoder(),
            new HttpResponseEncoder(),
            aggregator,
            this);
  }

  // ---- Input -----------------------------------------------------------------------------------

  @Override
  public void channelActive(ChannelHandlerContext context) {
    connections.setState(this, State.READING);
    input.readBacklog();
  }

  /** Bytes have been decoded: from the start of a request on its time limit runs. */
  void bytesDecoded() {
    if (input.hasPartialRequest() && connections.isIn(State.IDLE, this)) {
      connections.setState(this, State.READING);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    input.decoder().requestEnded();
    if (input.isDiscarded()) {
      return;
    }
    if (!request.decoderResult().isSuccess()) {
      input.discard();
    }
    long arrivedAtNanos = router.earliestArrivalNanos() - input.acceptDelayNanos();
    if (!responsePending) {
      serve(request, arrivedAtNanos);
    } else {
      queue(request, arrivedAtNanos);
    }
  }

  private void queue(FullHttpRequest request, long arrivedAtNanos) {
    long deadlineNanos = router.deadlineNanos(request, arrivedAtNanos);
    if (!pipelined.enqueue(request, arrivedAtNanos, deadlineNanos)) {
      input.discard();
    }
    channel
        .eventLoop()
        .schedule(
            this::abortRequestBlockingOverdue,
            deadlineNanos + OVERDUE_GRACE_NANOS - router.nowNanos(),
            TimeUnit.NANOSECONDS);
  }

  /** Responses keep their order: one that waits for its turn must not come too late for that. */
  private void abortRequestBlockingOverdue() {
    if (currentRequest != null && pipelined.hasOverdue(router.nowNanos() - OVERDUE_GRACE_NANOS)) {
      handler.abort(currentRequest.traceId());
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      inputShutDown();
    }
    context.fireUserEventTriggered(event);
  }

  /** The client has disconnected or reads on; only writing a response would show which. */
  private void inputShutDown() {
    if (!responsePending || connections.isIn(State.LINGERING, this)) {
      close();
      return;
    }
    input.discard();
    halfClosed = true;
    if (currentRequest != null) {
      handler.clientHalfClosed(currentRequest.traceId());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    connections.remove(this);
    pipelined.releaseAll();
    aggregator.releaseAll();
    notifyDisconnected();
  }

  private void notifyDisconnected() {
    if (currentRequest != null) {
      handler.clientDisconnected(currentRequest.traceId());
      currentRequest = null;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    boolean expected = cause instanceof IOException || cause instanceof CodecException;
    LOG.log(
        expected ? Level.FINE : Level.WARNING,
        "client_connection_failed client=" + channel.remoteAddress(),
        cause);
    if (cause instanceof IOException) {
      context.close();
    } else if (!input.isDiscarded()) {
      // For example a body over the budget, or no memory to read into. Requests before it still get
      // their responses.
      input.discard();
      if (!responsePending) {
        responsePending = true;
        reply(LocalReply.forFailure(cause));
      }
    }
    // Any other failure concerns discarded input; requests before it still get their responses.
  }

  /** The time for a complete request is over. */
  void requestTimedOut() {
    if (input.hasPartialRequest()) {
      input.discard();
      responsePending = true;
      reply(
          new LocalReply(
              HttpResponseStatus.REQUEST_TIMEOUT, "request did not arrive completely in time"));
    } else {
      close();
    }
  }

  /** Reads all that has arrived, which may have this connection serve a request. */
  void readPending() {
    input.readPending();
  }

  /** Whether a close would cut off a request that is arriving, or an error being sent. */
  boolean isReceivingOrLingering() {
    return input.hasPartialRequest() || connections.isIn(State.LINGERING, this);
  }

  /** Closes the channel; the connection no longer counts from here on. */
  void close() {
    connections.remove(this);
    channel.close();
  }

  // ---- Requests --------------------------------------------------------------------------------

  private void serve(FullHttpRequest request, long arrivedAtNanos) {
    responsePending = true;
    input.requestCompleted();
    currentBodyBytes = request.content().readableBytes();
    connections.setState(this, State.SERVING);
    // A response to HEAD has no body, and the error that HEAD gets has one: nothing may follow it.
    keepAlive = HttpUtil.isKeepAlive(request) && !request.method().equals(HttpMethod.HEAD);
    RoutingResult result = router.route(request, arrivedAtNanos, this, halfClosed);
    if (result instanceof DownstreamRequest accepted) {
      accepted.message().retain();
      currentRequest = accepted;
      handler.accept(accepted);
      abortRequestBlockingOverdue();
    } else {
      reply((LocalReply) result);
    }
  }

  // ---- Responses -------------------------------------------------------------------------------

  @Override
  public boolean isResponseAwaited() {
    readPending();
    if (!channel.isActive()) {
      // After a reset, channelInactive follows only once the event in progress has been handled.
      notifyDisconnected();
    }
    return currentRequest != null && !halfClosed;
  }

  private void reply(LocalReply reply) {
    ByteBuf content = Unpooled.copiedBuffer(reply.message() + "\n", StandardCharsets.UTF_8);
    respond(reply.status(), 0, "text/plain", content);
    content.release();
  }

  @Override
  public void respond(
      HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content) {
    currentRequest = null;
    if (listenerState.isClosing() && !input.isDecoding()) {
      // What has arrived would be lost by a close that the client has not asked for.
      readPending();
    }
    // Pipelined requests were received, so they get their responses before the connection ends.
    boolean keepOpen =
        keepAlive && (!pipelined.isEmpty() || (!input.isDiscarded() && !listenerState.isClosing()));
    channel
        .writeAndFlush(
            ResponseFactory.create(status, retryAfterNanos, contentType, content, keepOpen))
        .addListener(written -> responseWritten(written.isSuccess(), keepOpen));
  }

  private void responseWritten(boolean success, boolean keepOpen) {
    if (!success || (!keepOpen && halfClosed)) {
      channel.close();
    } else if (!keepOpen) {
      closeOutputAndLinger();
    } else {
      serveNext();
    }
  }

  /**
   * Ends the connection after its last response. A close over unread input would reset it, and the
   * client would lose what has not reached it of the response. Input is read until the client
   * closes, and discarded: no response to it could be sent any more.
   */
  private void closeOutputAndLinger() {
    input.discard();
    connections.setState(this, State.LINGERING);
    if (channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
    }
  }

  private void serveNext() {
    responsePending = false;
    aggregator.release(currentBodyBytes);
    PipelinedRequests.QueuedRequest next = pipelined.poll();
    if (next != null) {
      serve(next.request(), next.arrivedAtNanos());
      next.request().release();
    } else if (halfClosed) {
      // It ended its sending while this response was being written: nothing can follow.
      close();
    } else if (listenerState.isClosing() && !input.hasPartialRequest()) {
      // The response was still being written when idle connections were closed.
      closeOutputAndLinger();
    } else if (channel.isActive()) {
      connections.setState(this, input.hasPartialRequest() ? State.READING : State.IDLE);
    }
  }
}
