package loadbalancer.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Settings;
import loadbalancer.net.DescriptorBudget;
import loadbalancer.net.MonotonicClock;
import loadbalancer.net.PendingReads;
import loadbalancer.telemetry.EventLoopLagMonitor;
import loadbalancer.upstream.ConnectionPool;

/**
 * The listener for clients: accepts connections within the descriptor budget, and carries out the
 * steps of a graceful shutdown on them. All of it runs on the event loop that it listens on.
 */
public final class DownstreamListener {

  private static final long EXPIRY_CHECK_PERIOD_MILLIS = 100;

  /**
   * The queue of pending connections counts as empty once it was found so this many times, {@link
   * AcceptRetryHandler#RETRY_DELAY_MILLIS} apart: a call of accept that was interrupted looks the
   * same.
   */
  private static final int EMPTY_QUEUE_CHECKS = 2;

  private final RequestHandler handler;
  private final RequestRouter router;
  private final DescriptorBudget descriptors;
  private final ConnectionPool upstreamConnections;
  private final BodyBudget bodyBudget;
  private final ClientConnections connections = new ClientConnections();
  private final ListenerState state = new ListenerState();
  private AcceptRetryHandler acceptRetry;
  private Channel serverChannel;
  private long acceptedConnections;

  /**
   * Creates the listener of one proxy.
   *
   * @param upstreamConnections the idle ones are closed for the descriptors of new clients
   * @param maxBodyBytes bounds the memory of all request bodies together
   */
  public DownstreamListener(
      RequestHandler handler,
      MonotonicClock clock,
      EventLoopLagMonitor lagMonitor,
      DescriptorBudget descriptors,
      ConnectionPool upstreamConnections,
      Settings settings,
      long maxBodyBytes) {
    this.handler = handler;
    this.descriptors = descriptors;
    this.upstreamConnections = upstreamConnections;
    router = new RequestRouter(handler, new RequestParser(settings, clock, lagMonitor), state);
    bodyBudget = new BodyBudget(maxBodyBytes);
  }

  /** Binds to an address and accepts clients from there on; may be repeated if that fails. */
  public ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
    acceptRetry = new AcceptRetryHandler();
    ChannelFuture bound =
        bootstrap
            .clone()
            .handler(acceptRetry)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initialize(channel);
                  }
                })
            .bind(address);
    bound.addListener(future -> bindFinished(bound, future.isSuccess()));
    return bound;
  }

  private void bindFinished(ChannelFuture bound, boolean success) {
    if (success) {
      serverChannel = bound.channel();
      serverChannel
          .eventLoop()
          .scheduleWithFixedDelay(
              connections::closeExpired,
              EXPIRY_CHECK_PERIOD_MILLIS,
              EXPIRY_CHECK_PERIOD_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  /** From here on health checks may succeed. */
  public void markReady() {
    state.markReady();
  }

  /** From here on health checks fail, so that clients go elsewhere; connections go on. */
  public void startDraining() {
    state.startDraining();
  }

  /**
   * Stops listening once no connection waits in the kernel's queue, as closing the listener would
   * reset those. That takes as long as accepting them fails.
   */
  public void stopAccepting() {
    stopAccepting(EMPTY_QUEUE_CHECKS);
  }

  private void stopAccepting(int checksLeft) {
    int nextChecks = acceptPending() ? checksLeft - 1 : EMPTY_QUEUE_CHECKS;
    if (nextChecks == 0) {
      serverChannel.close();
      return;
    }
    serverChannel
        .eventLoop()
        .schedule(
            () -> stopAccepting(nextChecks),
            AcceptRetryHandler.RETRY_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Accepts what waits in the kernel's queue; false if that failed, so that more may wait. */
  private boolean acceptPending() {
    long failuresBefore = acceptRetry.failures();
    long acceptedBefore;
    do {
      acceptedBefore = acceptedConnections;
      PendingReads.readNow(serverChannel);
    } while (acceptedConnections > acceptedBefore);
    return acceptRetry.failures() == failuresBefore;
  }

  /** Whether it still accepts connections. */
  public boolean isAccepting() {
    return serverChannel.isActive();
  }

  /** Closes idle connections; from here on every last response closes its connection. */
  public void closeIdleConnections() {
    state.startClosing();
    connections.closeIdle();
  }

  /** Responds with an error to every request that has not arrived completely. */
  public void expireIncompleteRequests() {
    connections.expireIncompleteRequests();
  }

  /** The number of open client connections. */
  public int connectionCount() {
    return connections.count();
  }

  private void initialize(Channel channel) {
    new ClientConnection(channel, handler, router, connections, state, bodyBudget).addHandlers();
    admit(channel);
  }

  /**
   * Finds a descriptor for a new client: the kernel has accepted it, so it comes before clients
   * without a request in flight, and before idle connections to upstreams.
   */
  private void admit(Channel channel) {
    boolean admitted =
        (connections.count() < descriptors.maxClientConnections() && descriptors.hasRoom())
            || connections.shedOne()
            || upstreamConnections.closeLongestIdle();
    acceptedConnections++;
    descriptors.register(channel);
    if (!admitted && descriptors.isNearlyExhausted()) {
      channel.close();
    }
  }
}
