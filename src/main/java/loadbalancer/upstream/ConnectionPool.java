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
import loadbalancer.net.ConnectFailures;
import loadbalancer.net.DescriptorBudget;

/**
 * Starts calls to upstream endpoints, on idle connections where one may be reused and on new ones
 * otherwise. A connection carries one call at a time, a call completes once, and nothing is sent
 * again. Owns the calls that are connecting; confined to the event loop.
 */
public final class ConnectionPool {

  /** How often connections that have been idle for too long are closed, in milliseconds. */
  private static final long SWEEP_INTERVAL_MILLIS = 250;

  /** Wait before a connection is tried again that this machine could not make. */
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
   * @param connectTimeoutNanos how long connecting may take
   * @param upstreamIdleNanos the time after which upstreams close idle connections
   * @param isReady whether the endpoint with an id accepts new requests
   */
  public ConnectionPool(
      Bootstrap bootstrap,
      DescriptorBudget descriptors,
      long connectTimeoutNanos,
      long upstreamIdleNanos,
      LongPredicate isReady) {
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
                    new UpstreamConnection(channel, idleConnections, isReady).addHandlers();
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
   * @param request makes the request right before it is written, and not at all if it is not: a
   *     connection may be established late, and what the request says of the time left must hold
   *     then
   * @param timeoutNanos the time in which the call has to complete, connecting included
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
   * The connection of a call that cannot reuse one. While this machine cannot make it, for want of
   * a descriptor or a port say, it is tried again: nothing has been sent, and the endpoint has not
   * been asked.
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
        // No socket could be created. Listeners to such a failure run on a thread other than the
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
        // A call that was withdrawn or timed out while connecting is done and must not be written.
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
   * Stops using connections to endpoints that are draining or gone: idle ones are closed, and calls
   * that are still connecting are not sent.
   *
   * @param endpoints whether the endpoint with an id is one of them
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

  /** Closes the connection that has been idle longest, and returns false if none is idle. */
  public boolean closeLongestIdle() {
    return idleConnections.closeLongestIdle();
  }
}
