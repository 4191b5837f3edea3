package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import java.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.http.MessageMemory;
import loadbalancer.net.ConnectFailures;
import loadbalancer.net.DescriptorBudget;

/**
 * A pool of connections to upstream endpoints. Each call is sent on a reusable idle connection if
 * there is one, and on a new connection otherwise. A connection carries one call at a time, a call
 * completes exactly once, and no request is sent twice. The pool owns the calls that are waiting
 * for a new connection. Confined to the event loop.
 */
public final class ConnectionPool {

  /** The interval at which connections that exceed the idle timeout are closed. */
  private static final long SWEEP_INTERVAL_MILLIS = 250;

  /** The delay before connecting is retried after a failure on this machine. */
  private static final long LOCAL_RETRY_DELAY_MILLIS = 10;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final DescriptorBudget descriptors;
  private final IdleConnections idleConnections;
  private final long connectTimeoutNanos;
  private final Set<UpstreamCall> connectingCalls = new HashSet<>();

  /**
   * Creates a pool that runs on the bootstrap's event loop.
   *
   * @param descriptors the limit on open file descriptors, with which connections are registered
   * @param connectTimeoutNanos the maximum time to establish a connection
   * @param upstreamIdleNanos the idle time after which upstreams close connections
   * @param isEndpointReady tests whether the endpoint with the given id accepts new requests
   * @param memory memory for responses
   */
  public ConnectionPool(
      Bootstrap bootstrap,
      DescriptorBudget descriptors,
      long connectTimeoutNanos,
      long upstreamIdleNanos,
      LongPredicate isEndpointReady,
      MessageMemory memory) {
    this.descriptors = descriptors;
    this.connectTimeoutNanos = connectTimeoutNanos;
    idleConnections = new IdleConnections(upstreamIdleNanos);
    loop = bootstrap.config().group().next();
    int connectTimeoutMillis = (int) TimeUnit.NANOSECONDS.toMillis(connectTimeoutNanos);
    this.bootstrap =
        bootstrap
            .clone()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    new UpstreamConnection(channel, idleConnections, isEndpointReady, memory)
                        .addHandlers();
                  }
                });
    loop.scheduleWithFixedDelay(
        idleConnections::closeExpired,
        SWEEP_INTERVAL_MILLIS,
        SWEEP_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  /**
   * Starts a call.
   *
   * @param request creates the request. It is called only if the request is written, and
   *     immediately before that: the request states its remaining time, which connecting reduces
   * @param timeoutNanos the maximum time until the call completes, including the time to connect
   */
  public void start(
      UpstreamCall call,
      SocketAddress address,
      Supplier<FullHttpRequest> request,
      long timeoutNanos) {
    if (!call.shouldBeSent()) {
      call.complete(AttemptStatus.NOT_SENT, null);
      return;
    }
    call.startTimeout(loop, timeoutNanos);
    UpstreamConnection reused = idleConnections.acquire(call.endpointId(), address);
    if (reused != null) {
      reused.send(call, request.get());
    } else {
      new ConnectOperation(call, address, request).start();
    }
  }

  /**
   * Opens a new connection for a call. Connecting is retried while it fails on this machine, for
   * example for lack of a file descriptor or a port: the endpoint has not been contacted, so the
   * failure says nothing about it.
   */
  private final class ConnectOperation {

    private final UpstreamCall call;
    private final SocketAddress address;
    private final Supplier<FullHttpRequest> request;
    private final long retryUntilNanos = System.nanoTime() + connectTimeoutNanos;

    ConnectOperation(UpstreamCall call, SocketAddress address, Supplier<FullHttpRequest> request) {
      this.call = call;
      this.address = address;
      this.request = request;
    }

    void start() {
      connectingCalls.add(call);
      open();
    }

    private void open() {
      if (!descriptors.hasRoom() && !closeLongestIdle()) {
        retryOrGiveUp();
        return;
      }
      ChannelFuture connect = bootstrap.connect(address);
      if (connect.isDone() && !connect.isSuccess()) {
        // No socket could be created. Netty would notify a listener on a thread other than the
        // loop's.
        retryOrGiveUp();
        return;
      }
      Channel channel = connect.channel();
      call.assignTo(channel);
      descriptors.register(channel);
      connect.addListener(future -> connectFinished(channel, future.cause()));
    }

    private void connectFinished(Channel channel, Throwable failure) {
      if (failure != null) {
        channel.close();
      }
      if (failure != null && !call.isDone() && ConnectFailures.isLocal(failure)) {
        retryOrGiveUp();
        return;
      }
      connectingCalls.remove(call);
      if (call.isDone() || failure != null) {
        // Completes the call if connecting failed. A call that was cancelled or timed out while
        // connecting has already completed, and its request must not be written.
        call.complete(AttemptStatus.CONNECT_FAILED, null);
        channel.close();
      } else if (!call.shouldBeSent()) {
        call.complete(AttemptStatus.NOT_SENT, null);
        channel.close();
      } else {
        channel.pipeline().get(UpstreamConnection.class).send(call, request.get());
      }
    }

    private void retryOrGiveUp() {
      if (System.nanoTime() < retryUntilNanos) {
        loop.schedule(this::retry, LOCAL_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        connectingCalls.remove(call);
        call.complete(AttemptStatus.NOT_SENT, null);
      }
    }

    private void retry() {
      if (!call.isDone() && call.shouldBeSent()) {
        open();
      } else {
        connectingCalls.remove(call);
        call.complete(AttemptStatus.NOT_SENT, null);
      }
    }
  }

  /** Cancels a call unless it has completed, and closes its connection. */
  public void cancel(UpstreamCall call) {
    call.cancel();
  }

  /**
   * Stops sending new requests to endpoints that are draining or gone: closes their idle
   * connections and cancels the calls that are still connecting to them.
   *
   * @param endpoints tests whether the endpoint with the given id is one of them
   */
  public void withdraw(LongPredicate endpoints) {
    idleConnections.closeMatching(endpoints);
    for (UpstreamCall call : List.copyOf(connectingCalls)) {
      if (endpoints.test(call.endpointId())) {
        call.cancel();
      }
    }
  }

  /** Closes the idle connections to an endpoint. */
  public void closeIdle(long endpointId) {
    idleConnections.closeAll(endpointId);
  }

  /**
   * Returns how many connections have been closed since the last call because bytes followed a
   * complete response.
   */
  public int takeSurplusResponses() {
    return idleConnections.takeSurplusResponses();
  }

  /** Closes the connection that has been idle longest. Returns whether there was one. */
  public boolean closeLongestIdle() {
    return idleConnections.closeLongestIdle();
  }
}
