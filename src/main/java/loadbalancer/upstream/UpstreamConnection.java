package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.CodecException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.function.LongPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;
import loadbalancer.decision.api.AttemptStatus;

/**
 * One connection to an endpoint and the call on it: the last handler of the connection's pipeline.
 * Once a call has completed well the connection goes to the idle ones; otherwise it is closed.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

  private static final Logger LOG = Logger.getLogger(UpstreamConnection.class.getName());

  /** More 1xx responses than this ahead of the final one count as endless. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 16;

  /** Marks a connection whose call is the first one on it. */
  private static final long NOT_REUSED = -1;

  private final Channel channel;
  private final IdleConnections idleConnections;
  private final LongPredicate isReady;
  private final ResponseDecoder decoder = new ResponseDecoder();
  private final ResponseStartCheck startCheck = new ResponseStartCheck(this, decoder);

  /** The call whose response is awaited; null on an idle connection. */
  private UpstreamCall call;

  private long endpointId;

  /** A reading of {@link System#nanoTime()}. */
  private long idleSinceNanos;

  /** How long the connection had been idle before the call on it, or {@link #NOT_REUSED}. */
  private long idleBeforeCallNanos = NOT_REUSED;

  private int informationalResponses;

  UpstreamConnection(Channel channel, IdleConnections idleConnections, LongPredicate isReady) {
    this.channel = channel;
    this.idleConnections = idleConnections;
    this.isReady = isReady;
  }

  /** Fills the pipeline of the connection's channel. */
  void addHandlers() {
    channel
        .pipeline()
        .addLast(
            startCheck,
            new HttpRequestEncoder(),
            decoder,
            new ResponseFramingCheck(),
            new ResponseAggregator(),
            this);
  }

  long endpointId() {
    return endpointId;
  }

  /** Returns how long the connection has been idle at a reading of {@link System#nanoTime()}. */
  long idleNanos(long nowNanos) {
    return nowNanos - idleSinceNanos;
  }

  boolean hasCall() {
    return call != null;
  }

  boolean isConnectedTo(SocketAddress address) {
    return channel.isActive() && channel.remoteAddress().equals(address);
  }

  /**
   * Returns whether the kernel holds neither bytes nor the end of the stream for this connection.
   * If it does, the connection must be closed.
   */
  boolean hasNothingUnread() {
    return !(channel instanceof UpstreamChannel socket) || socket.hasNothingUnread();
  }

  /** Marks that the connection carries another call after an idle time. */
  void markReused(long idleNanos) {
    idleBeforeCallNanos = idleNanos;
  }

  void close() {
    channel.close();
  }

  /** Writes a call's request. Takes over the request. */
  void send(UpstreamCall nextCall, FullHttpRequest request) {
    call = nextCall;
    endpointId = nextCall.endpointId();
    nextCall.assignTo(channel);
    channel
        .writeAndFlush(request)
        .addListener(
            future -> {
              if (future.isSuccess()) {
                nextCall.markWritten();
              } else {
                channel.close();
                nextCall.complete(AttemptStatus.CONNECT_FAILED, null);
              }
            });
  }

  /** Closes a connection on which bytes have come that are no part of a response to its call. */
  void rejectUnexpectedBytes() {
    idleConnections.recordUnexpectedBytes(this);
    abort();
  }

  /** Closes the connection without a usable response; the call on it, if any, may have run. */
  void abort() {
    UpstreamCall aborted = call;
    call = null;
    startCheck.reset();
    channel.close();
    if (aborted != null) {
      aborted.complete(AttemptStatus.RESET, null);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    startCheck.reset();
    if (call == null) {
      channel.close();
    } else if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      handleInformational(response);
    } else {
      completeCall(response);
    }
  }

  private void handleInformational(FullHttpResponse response) {
    informationalResponses++;
    if (informationalResponses > MAX_INFORMATIONAL_RESPONSES
        || response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      abort();
    }
  }

  private void completeCall(FullHttpResponse response) {
    UpstreamCall completed = call;
    call = null;
    recordReuse(false);
    informationalResponses = 0;
    AttemptStatus status = ResponseClassifier.classify(response);
    if (status == AttemptStatus.SUCCESS && !completed.isWritten()) {
      // A response that came before the whole request was written answers another request.
      status = AttemptStatus.RESET;
    }
    if (status != AttemptStatus.RESET
        && completed.isWritten()
        && !completed.isDone()
        && HttpUtil.isKeepAlive(response)
        && isReady.test(endpointId)) {
      idleSinceNanos = System.nanoTime();
      idleConnections.add(this);
    } else {
      channel.close();
    }
    completed.complete(status, response);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (call != null && !call.isDone() && !startCheck.hasStarted()) {
      recordReuse(true);
    }
    startCheck.reset();
    idleConnections.remove(this);
    if (call != null) {
      call.complete(call.isWritten() ? AttemptStatus.RESET : AttemptStatus.CONNECT_FAILED, null);
      call = null;
    }
  }

  private void recordReuse(boolean broken) {
    if (idleBeforeCallNanos != NOT_REUSED) {
      idleConnections.recordReuse(idleBeforeCallNanos, broken);
      idleBeforeCallNanos = NOT_REUSED;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    boolean isExpected = cause instanceof IOException || cause instanceof CodecException;
    LOG.log(
        isExpected ? Level.FINE : Level.WARNING,
        "upstream_connection_failed address=" + channel.remoteAddress(),
        cause);
    context.close();
  }
}
