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
import java.util.logging.Logger;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.http.HeadMemory;
import loadbalancer.http.MessageMemory;
import loadbalancer.net.BoundedLog;

/**
 * One connection to an endpoint and the call on it. This is the last handler of the connection's
 * pipeline. When a call completes with a well-formed response that permits keep-alive, nothing has
 * arrived behind it and the endpoint is ready, the connection becomes idle; otherwise it is closed.
 */
final class UpstreamConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

  private static final BoundedLog FAILURES =
      new BoundedLog(Logger.getLogger(UpstreamConnection.class.getName()));

  /** The maximum number of 1xx responses before the final response. */
  private static final int MAX_INFORMATIONAL_RESPONSES = 16;

  /** The value of {@link #idleBeforeCallNanos} if no reuse is to be recorded. */
  private static final long NO_REUSE_TO_RECORD = -1;

  private final Channel channel;
  private final IdleConnections idleConnections;
  private final LongPredicate isEndpointReady;
  private final HeadMemory headMemory;
  private final ResponseDecoder decoder;
  private final ResponseAggregator aggregator;
  private final ResponseStartCheck startCheck;

  /** The call whose response is awaited; null on an idle connection. */
  private UpstreamCall call;

  private long endpointId;

  /** The {@link System#nanoTime()} at which the connection became idle. */
  private long idleSinceNanos;

  /**
   * The idle time before the current call, or {@link #NO_REUSE_TO_RECORD} if the call is the first
   * one or its outcome has been recorded.
   */
  private long idleBeforeCallNanos = NO_REUSE_TO_RECORD;

  private int informationalResponses;

  /**
   * Creates the connection of a channel.
   *
   * @param isEndpointReady tests whether the endpoint with the given id accepts new requests
   * @param memory memory for responses
   */
  UpstreamConnection(
      Channel channel,
      IdleConnections idleConnections,
      LongPredicate isEndpointReady,
      MessageMemory memory) {
    this.channel = channel;
    this.idleConnections = idleConnections;
    this.isEndpointReady = isEndpointReady;
    headMemory = new HeadMemory(memory.heads());
    decoder = new ResponseDecoder(headMemory);
    startCheck = new ResponseStartCheck(this, decoder);
    aggregator = new ResponseAggregator(memory.bodies());
  }

  /** Adds the handlers to the pipeline of the channel. */
  void addHandlers() {
    channel
        .pipeline()
        .addLast(
            startCheck,
            new HttpRequestEncoder(),
            decoder,
            new ResponseFramingCheck(),
            aggregator,
            this);
  }

  long endpointId() {
    return endpointId;
  }

  /** Returns the idle time of the connection at a {@link System#nanoTime()} reading. */
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
   * Returns whether neither bytes nor the end of the stream are waiting to be read. If this returns
   * false, the connection must be closed.
   */
  boolean hasNothingUnread() {
    return !(channel instanceof UpstreamChannel socket) || socket.hasNothingUnread();
  }

  /** Marks the connection as reused after an idle time. */
  void markReused(long idleNanos) {
    idleBeforeCallNanos = idleNanos;
  }

  void close() {
    channel.close();
  }

  /** Writes the request of a call and takes ownership of the request. */
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

  /** Closes the connection after bytes arrived that do not belong to a response to its call. */
  void rejectUnexpectedBytes() {
    if (call == null) {
      idleConnections.recordSurplusResponse(channel.remoteAddress());
    }
    idleConnections.recordUnexpectedBytes(this);
    abort();
  }

  /** Closes the connection and completes its call, if any, as reset; the request may have run. */
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
      // A response that arrives before the whole request is written belongs to another request.
      status = AttemptStatus.RESET;
    }
    if (decoder.hasUndecodedBytes()) {
      idleConnections.recordSurplusResponse(channel.remoteAddress());
      channel.close();
    } else if (status != AttemptStatus.RESET && isReusableAfter(completed, response)) {
      idleSinceNanos = System.nanoTime();
      idleConnections.add(this);
    } else {
      channel.close();
    }
    completed.complete(status, response);
    headMemory.releaseAll();
  }

  private boolean isReusableAfter(UpstreamCall completed, FullHttpResponse response) {
    return completed.isWritten()
        && !completed.isDone()
        && channel.isActive()
        && HttpUtil.isKeepAlive(response)
        && isEndpointReady.test(endpointId);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (call != null && !call.isDone() && !startCheck.hasResponseStarted()) {
      recordReuse(true);
    }
    startCheck.reset();
    idleConnections.remove(this);
    headMemory.close();
    if (call != null) {
      call.complete(call.isWritten() ? AttemptStatus.RESET : AttemptStatus.CONNECT_FAILED, null);
      call = null;
    }
  }

  private void recordReuse(boolean hasBroken) {
    if (idleBeforeCallNanos != NO_REUSE_TO_RECORD) {
      idleConnections.recordReuse(idleBeforeCallNanos, hasBroken);
      idleBeforeCallNanos = NO_REUSE_TO_RECORD;
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    boolean isExpected = cause instanceof IOException || cause instanceof CodecException;
    if (!isExpected) {
      FAILURES.warn("upstream_connection_failed address=" + channel.remoteAddress(), cause);
    }
    context.close();
  }
}
