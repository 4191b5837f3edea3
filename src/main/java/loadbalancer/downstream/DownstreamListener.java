package loadbalancer.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.http.MessageMemory;
import loadbalancer.net.DescriptorBudget;
import loadbalancer.net.LoopIterations;
import loadbalancer.net.PendingReads;
import loadbalancer.telemetry.ClientActivity;
import loadbalancer.upstream.ConnectionPool;

/**
 * The listener for clients. It accepts connections within the descriptor budget, and performs the
 * steps of a graceful shutdown on them. Confined to the event loop of its socket.
 */
public final class DownstreamListener {

  private static final long EXPIRY_CHECK_PERIOD_MILLIS = 100;

  /**
   * Number of consecutive checks, {@link AcceptRetryHandler#RETRY_DELAY_MILLIS} apart, after which
   * the accept queue counts as empty. A single check does not suffice, as an interrupted accept
   * call looks like an empty queue.
   */
  private static final int EMPTY_QUEUE_CHECKS = 2;

  private final DescriptorBudget descriptors;
  private final ConnectionPool upstreamConnections;
  private final ClientConnections connections;
  private final ListenerState state = new ListenerState();
  private final ListenerContext context;
  private AcceptRetryHandler acceptRetry;
  private Channel serverChannel;
  private long acceptedConnections;

  /**
   * Creates the listener of one proxy.
   *
   * @param parser parses the requests for the handler
   * @param upstreamConnections pool whose idle connections are closed when new clients need their
   *     descriptors
   * @param memory memory for requests
   * @param iterations the iterations of the listener's event loop
   * @param activity counts the client connections and how they end
   */
  public DownstreamListener(
      RequestHandler handler,
      RequestParser parser,
      DescriptorBudget descriptors,
      ConnectionPool upstreamConnections,
      MessageMemory memory,
      LoopIterations iterations,
      ClientActivity activity) {
    this.descriptors = descriptors;
    this.upstreamConnections = upstreamConnections;
    connections = new ClientConnections(activity);
    RequestRouter router = new RequestRouter(handler, parser, state);
    context =
        new ListenerContext(handler, router, connections, state, memory, iterations, activity);
  }

  /** Binds to an address and starts to accept clients. May be called again if binding fails. */
  public ChannelFuture listen(ServerBootstrap bootstrap, SocketAddress address) {
    acceptRetry = new AcceptRetryHandler();
    ChannelFuture bindFuture =
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
    bindFuture.addListener(future -> bindFinished(bindFuture, future.isSuccess()));
    return bindFuture;
  }

  private void bindFinished(ChannelFuture bindFuture, boolean success) {
    if (success) {
      serverChannel = bindFuture.channel();
      serverChannel
          .eventLoop()
          .scheduleWithFixedDelay(
              connections::closeExpired,
              EXPIRY_CHECK_PERIOD_MILLIS,
              EXPIRY_CHECK_PERIOD_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  /** Allows health checks to succeed from now on. */
  public void markReady() {
    state.markReady();
  }

  /** Makes health checks fail from now on, so that clients go elsewhere. Connections stay open. */
  public void startDraining() {
    state.startDraining();
  }

  /**
   * Stops listening once the kernel's accept queue is empty, as closing the listener would reset
   * the connections in it. While accepting fails, the listener stays open.
   */
  public void stopAccepting() {
    stopAccepting(EMPTY_QUEUE_CHECKS);
  }

  private void stopAccepting(int checksLeft) {
    int nextChecksLeft = acceptPending() ? checksLeft - 1 : EMPTY_QUEUE_CHECKS;
    if (nextChecksLeft == 0) {
      serverChannel.close();
      return;
    }
    serverChannel
        .eventLoop()
        .schedule(
            () -> stopAccepting(nextChecksLeft),
            AcceptRetryHandler.RETRY_DELAY_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /**
   * Accepts the connections in the kernel's accept queue. Returns false if accepting failed; more
   * connections may then still be queued.
   */
  private boolean acceptPending() {
    long failuresBefore = acceptRetry.failureCount();
    long acceptedBefore;
    do {
      acceptedBefore = acceptedConnections;
      PendingReads.readNow(serverChannel);
    } while (acceptedConnections > acceptedBefore);
    return acceptRetry.failureCount() == failuresBefore;
  }

  /** Returns whether the listener still accepts connections. */
  public boolean isAccepting() {
    return serverChannel.isActive();
  }

  /** Closes idle connections. From now on every connection is closed after its last response. */
  public void closeIdleConnections() {
    state.startClosingConnections();
    connections.closeIdle();
  }

  /**
   * Times out every connection that is waiting for its first request or for the rest of a request.
   * One with a partial request gets an error response, and one that has sent nothing is closed.
   * Connections that are serving a request are left alone.
   */
  public void expireIncompleteRequests() {
    connections.expireIncompleteRequests();
  }

  /** Returns the number of open client connections. */
  public int connectionCount() {
    return connections.count();
  }

  private void initialize(Channel channel) {
    new ClientConnection(channel, context).addHandlers();
    admit(channel);
  }

  /**
   * Admits a new client. If the descriptor budget is used up, closes a client connection without a
   * request in flight in exchange, or else an idle connection to an upstream: the kernel has
   * already accepted the new client. If there is neither, the new connection may use a spare
   * descriptor, but is closed when those run low.
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
