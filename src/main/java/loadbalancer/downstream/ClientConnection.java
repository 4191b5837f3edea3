package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import loadbalancer.downstream.ClientConnections.State;
import loadbalancer.http.HeadMemory;
import loadbalancer.http.MessageMemory;
import loadbalancer.http.MessageMemoryException;
import loadbalancer.net.BoundedLog;
import loadbalancer.telemetry.ClientActivity;
import loadbalancer.telemetry.ClientCloseReason;

/**
 * A client connection. It serves one request at a time and queues pipelined requests.
 *
 * <p>It owns the connection's channel and its entry in {@link ClientConnections}; it closes the
 * channel and removes the entry.
 */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest>
    implements ResponseSink {

  private static final BoundedLog FAILURES =
      new BoundedLog(Logger.getLogger(ClientConnection.class.getName()));

  /**
   * Time after the deadline of a queued request at which the request ahead of it is aborted. A
   * response that is half a second late or more counts as lost, not merely as worthless.
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
  private final OverdueTimer overdueTimer;
  private final ResponseTurn turn;
  private final ClientActivity activity;
  private final long number;

  /**
   * True while the response to a request, or an error response, has not been written completely, or
   * the connection waits for its next turn.
   */
  private boolean responsePending;

  /** The request that the handler has accepted and not yet responded to; null for none. */
  private DownstreamRequest currentRequest;

  /** True if the connection may be kept alive after the request being served. */
  private boolean keepAlive;

  /** True once the client has half-closed the connection. */
  private boolean halfClosed;

  ClientConnection(Channel channel, ListenerContext context) {
    this.channel = channel;
    handler = context.handler();
    router = context.router();
    connections = context.connections();
    listenerState = context.state();
    activity = context.activity();
    number = connections.nextNumber();
    MessageMemory memory = context.memory();
    HeadMemory headMemory = new HeadMemory(memory.heads());
    input = new ClientInput(channel, headMemory, activity);
    pipelined = new PipelinedRequests(headMemory);
    turn = new ResponseTurn(context.iterations());
    overdueTimer =
        new OverdueTimer(channel.eventLoop(), router::nowNanos, this::abortRequestBlockingOverdue);
    aggregator = new RequestAggregator(memory.bodies(), () -> responsePending);
  }

  /** Adds the connection's handlers to the pipeline of its channel. */
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
    connections.add(this);
    input.readBacklog();
  }

  /**
   * Starts the time limit of a request that has begun to arrive on an idle connection. Called after
   * any bytes have been decoded.
   */
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
    if (mustEndInput(request.decoderResult())) {
      input.discard();
    }
    long arrivedAtNanos = router.earliestArrivalNanos() - input.readDelayNanos();
    if (!responsePending) {
      serve(request, arrivedAtNanos);
    } else {
      queue(request, arrivedAtNanos);
    }
  }

  /**
   * Returns whether no further request can be read after this one: its decoding failed, and its end
   * is not known.
   */
  private static boolean mustEndInput(DecoderResult result) {
    boolean isReadToEnd =
        result.cause() instanceof MessageMemoryException lacksMemory
            && lacksMemory.isMessageComplete();
    return !result.isSuccess() && !isReadToEnd;
  }

  private void queue(FullHttpRequest request, long arrivedAtNanos) {
    long deadlineNanos = router.deadlineNanos(request, arrivedAtNanos);
    pipelined.enqueue(request, arrivedAtNanos, deadlineNanos);
    if (pipelined.isFull()) {
      input.pause();
    }
    overdueTimer.fireBy(deadlineNanos + OVERDUE_GRACE_NANOS);
  }

  /**
   * Aborts the current request if a request queued behind it is overdue, as responses are sent in
   * the order of the requests.
   */
  private void abortRequestBlockingOverdue() {
    long overdueNanos = router.nowNanos() - OVERDUE_GRACE_NANOS;
    long nextDeadlineNanos = pipelined.firstDeadlineAfter(overdueNanos);
    if (nextDeadlineNanos != PipelinedRequests.NO_DEADLINE) {
      overdueTimer.fireBy(nextDeadlineNanos + OVERDUE_GRACE_NANOS);
    }
    if (currentRequest != null && pipelined.hasOverdue(overdueNanos)) {
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

  /**
   * Handles the end of the input: the client has either disconnected or half-closed the connection,
   * and only writing a response would show which.
   */
  private void inputShutDown() {
    if (!responsePending || connections.isIn(State.LINGERING, this)) {
      close(ClientCloseReason.CLIENT);
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
    connections.remove(this, ClientCloseReason.CLIENT);
    overdueTimer.cancel();
    pipelined.releaseAll();
    input.ended();
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
    if (!expected) {
      FAILURES.warn("client_connection_failed client=" + channel.remoteAddress(), cause);
    }
    if (cause instanceof IOException) {
      close(ClientCloseReason.CLIENT);
    } else if (!input.isDiscarded()) {
      // For example, no memory is left for the read buffer. Earlier requests still get their
      // responses.
      input.discard();
      if (!responsePending) {
        responsePending = true;
        reply(LocalReply.forFailure(cause));
      }
    }
    // Any other failure concerns discarded input, and earlier requests still get their responses.
  }

  /**
   * Responds with an error if only a part of a request has arrived within its time limit, and
   * closes the connection if nothing has.
   */
  void requestTimedOut() {
    if (input.hasPartialRequest()) {
      input.discard();
      responsePending = true;
      reply(
          new LocalReply(
              HttpResponseStatus.REQUEST_TIMEOUT, "request did not arrive completely in time"));
    } else {
      close(ClientCloseReason.TIMEOUT);
    }
  }

  /** Reads pending input, up to a limit. This may start the serving of a request. */
  void readPending() {
    input.readPending();
  }

  /** Returns whether a request is arriving, or the client may not have the last response yet. */
  boolean isReceivingOrLingering() {
    return input.hasPartialRequest() || connections.isIn(State.LINGERING, this);
  }

  /** Closes the channel and stops counting the connection as open. */
  void close(ClientCloseReason reason) {
    connections.remove(this, reason);
    channel.close();
  }

  // ---- Requests --------------------------------------------------------------------------------

  private void serve(FullHttpRequest request, long arrivedAtNanos) {
    responsePending = true;
    input.requestCompleted();
    connections.setState(this, State.SERVING);
    // Even the response to HEAD has a body. A client would take that for the start of the next
    // response, so the connection is closed after it.
    keepAlive = HttpUtil.isKeepAlive(request) && !request.method().equals(HttpMethod.HEAD);
    RoutingResult result = router.route(request, arrivedAtNanos, this, presenceByInput());
    if (result instanceof DownstreamRequest accepted) {
      accepted.message().retain();
      currentRequest = accepted;
      handler.accept(accepted);
      abortRequestBlockingOverdue();
    } else {
      reply((LocalReply) result);
      HeadMemory.release(request.headers());
    }
  }

  /** Returns what the input that has been read so far tells of the client. */
  private ClientPresence presenceByInput() {
    if (halfClosed) {
      return ClientPresence.GONE;
    }
    return input.isPaused() ? ClientPresence.UNKNOWN : ClientPresence.WAITING;
  }

  // ---- Responses -------------------------------------------------------------------------------

  @Override
  public ClientPresence clientPresence() {
    boolean allRead = input.readPending();
    if (!channel.isActive()) {
      // After a reset, Netty calls channelInactive only in a later task of the event loop, so the
      // handler is notified here.
      notifyDisconnected();
    }
    if (currentRequest == null || halfClosed) {
      return ClientPresence.GONE;
    }
    return allRead ? ClientPresence.WAITING : ClientPresence.UNKNOWN;
  }

  @Override
  public long connectionNumber() {
    return number;
  }

  private void reply(LocalReply reply) {
    activity.replied(reply.status().code());
    ByteBuf content = Unpooled.copiedBuffer(reply.message() + "\n", StandardCharsets.UTF_8);
    respond(reply.status(), 0, "text/plain", content);
    content.release();
  }

  @Override
  public void respond(
      HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content) {
    currentRequest = null;
    if (listenerState.isClosingConnections() && !input.isDecoding()) {
      // Requests that have arrived would be lost if the proxy closed the connection now.
      readPending();
    }
    // Pipelined requests have been received, so they get responses before the connection is closed.
    boolean keepOpen =
        keepAlive
            && (!pipelined.isEmpty()
                || (!input.isDiscarded() && !listenerState.isClosingConnections()));
    ChannelFuture write =
        channel.writeAndFlush(
            ResponseFactory.create(status, retryAfterNanos, contentType, content, keepOpen));
    if (!write.isDone()) {
      connections.setState(this, State.RESPONDING);
    }
    write.addListener(written -> responseWritten(written.isSuccess(), keepOpen));
  }

  private void responseWritten(boolean success, boolean keepOpen) {
    if (!success) {
      close(ClientCloseReason.FAILURE);
    } else if (!keepOpen && halfClosed) {
      close(ClientCloseReason.LAST_RESPONSE);
    } else if (!keepOpen) {
      closeOutputAndLinger();
    } else if (turn.isOverAfterResponse()) {
      turn.runInNext(this::serveNextIfOpen);
    } else {
      serveNext();
    }
  }

  private void serveNextIfOpen() {
    if (channel.isActive()) {
      serveNext();
    }
  }

  /**
   * Ends the connection after its last response. Closing it with unread input would reset it, and
   * the client would lose the part of the response that has not reached it. Input is therefore read
   * until the client closes, and discarded, as no response to it can be sent any more.
   */
  private void closeOutputAndLinger() {
    input.discard();
    connections.setState(this, State.LINGERING);
    if (channel instanceof DuplexChannel duplex) {
      duplex.shutdownOutput();
    }
  }

  private void serveNext() {
    PipelinedRequests.QueuedRequest next = pipelined.poll();
    if (!pipelined.isFull()) {
      // What is read here is queued, as a response still counts as pending.
      input.resume();
    }
    responsePending = false;
    if (next != null) {
      serve(next.request(), next.arrivedAtNanos());
      next.request().release();
    } else if (halfClosed) {
      // The client half-closed while this response was being written; no request can follow.
      close(ClientCloseReason.LAST_RESPONSE);
    } else if (listenerState.isClosingConnections() && !input.hasPartialRequest()) {
      // This response was still being written when idle connections were closed.
      closeOutputAndLinger();
    } else if (channel.isActive()) {
      connections.setState(this, input.hasPartialRequest() ? State.READING : State.IDLE);
    }
  }
}
