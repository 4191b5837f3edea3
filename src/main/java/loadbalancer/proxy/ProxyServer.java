package loadbalancer.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.logging.Logger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.gossip.GossipChannel;
import loadbalancer.telemetry.LogValues;

/**
 * One proxy process, from its start to its shutdown: owns the event loop and creates the components
 * that run on it. Except where noted, its methods must not be called on the event loop.
 */
public final class ProxyServer {

  private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());

  /**
   * Maximum wait for discovery at the start. After it, the proxy serves with the list in the
   * configuration: an outdated list is better than none.
   */
  private static final long DISCOVERY_WAIT_MILLIS = 2000;

  private final BalancerConfig config;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private ProxyComponents components;
  private DiscoveryWatch discovery;
  private GossipChannel gossip;
  private ConfigurationReloader reloader;
  private GracefulShutdown shutdown;
  private Channel serverChannel;

  private ProxyServer(BalancerConfig config) throws IOException {
    this.config = config;
    group =
        TransientFailures.retry(
            "event_loop_failed",
            () -> new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()));
    loop = group.next();
  }

  /** Starts a proxy and returns once it is listening. */
  static ProxyServer start(BalancerConfig config) throws IOException {
    ProxyServer server = prepare(config);
    server.listen();
    return server;
  }

  /**
   * Performs the steps of a start that precede {@link #listen}. No client can connect before that,
   * so a failed start leaves no request without a response.
   */
  public static ProxyServer prepare(BalancerConfig config) throws IOException {
    int maxKeyedWindows = ResourceLimits.of(config).maxKeyedWindows();
    return prepare(
        config,
        generation ->
            new LoadBalancingEngine(config.settings(), config.seed() + generation, maxKeyedWindows),
        DISCOVERY_WAIT_MILLIS);
  }

  /**
   * Performs the steps of a start that precede {@link #listen}, with the given decision engine.
   * Waits for discovery's first update, because discovery's list applies from the start of the
   * process on, and the one in the configuration may be older.
   *
   * @param engineFactory creates the n-th engine of the process, counted from 0
   * @param discoveryWaitMillis maximum wait for the first update
   */
  public static ProxyServer prepare(
      BalancerConfig config, LongFunction<DecisionEngine> engineFactory, long discoveryWaitMillis)
      throws IOException {
    ProxyServer server = new ProxyServer(config);
    try {
      server.loop.submit(() -> server.createComponents(engineFactory)).syncUninterruptibly();
      long waitDeadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(discoveryWaitMillis);
      WarmUp.run(config.settings());
      if (!server.discovery.awaitFirstUpdate(waitDeadline - System.nanoTime())) {
        LOG.warning("discovery_silent_at_start waited_ms=" + discoveryWaitMillis);
      }
    } catch (RuntimeException e) {
      server.shutDownNow();
      throw e;
    }
    return server;
  }

  /**
   * Creates and connects the components, applies the configured endpoint list and starts discovery.
   * Must be called on the event loop.
   */
  private void createComponents(LongFunction<DecisionEngine> engineFactory) {
    ProxyComponents.Builder builder =
        new ProxyComponents.Builder(loop, config.settings(), engineFactory);
    Bootstrap upstreams = Bootstraps.forUpstreams(group);
    gossip =
        new GossipChannel(
            config.settings().instanceIndex(),
            config.instanceAddresses(),
            config.broadcastAddress());
    boolean isPushed = !config.settings().polledDiscovery();
    discovery =
        new DiscoveryWatch(
            loop,
            upstreams,
            config.discoveryAddress(),
            isPushed,
            config.settings().contract().drainGraceNanos(),
            builder.directory());
    components =
        builder
            .upstreams(upstreams, config.idleTimeoutNanos(), config.hasLoadReports())
            .limits(ResourceLimits.of(config))
            .endpointSource(discovery.source())
            .gossip(gossip)
            .build();
    reloader = new ConfigurationReloader(loop, discovery);
    shutdown = new GracefulShutdown(loop, components, config.settings(), this::shutDownNow);
    components.dispatcher().endpointsUpdated(UpdateKind.CACHED, config.initialEndpoints());
    discovery.start(components.dispatcher());
  }

  /** Starts to accept clients and messages of other instances. */
  public void listen() throws IOException {
    try {
      if (config.gossipListenAddress() != null && config.settings().limits().gossip()) {
        TransientFailures.retry("gossip_bind_failed", this::bindGossip);
      }
      serverChannel = TransientFailures.retry("bind_failed", this::bind);
      loop.submit(listener()::markReady).syncUninterruptibly();
    } catch (IOException | RuntimeException e) {
      shutDownNow();
      throw e;
    }
    LOG.info(
        "listening address="
            + address()
            + " endpoints="
            + config.initialEndpoints().members().size()
            + " instance="
            + LogValues.quoteIfNeeded(config.name()));
  }

  private Channel bindGossip() {
    return gossip
        .listen(group, config.gossipListenAddress(), components.dispatcher())
        .syncUninterruptibly()
        .channel();
  }

  private Channel bind() {
    return listener()
        .listen(Bootstraps.forClients(group), config.listenAddress())
        .syncUninterruptibly()
        .channel();
  }

  /** Returns the listener for clients, which must be used on the event loop. */
  DownstreamListener listener() {
    return components.listener();
  }

  /** Returns the address that clients connect to, once the proxy is listening. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverChannel.localAddress();
  }

  /** Reads the configuration again, and applies the changes that need no restart. */
  void reload(ConfigurationReloader.Source source) {
    reloader.reload(source);
  }

  /**
   * Shuts down without losing a request, and returns when the shutdown is complete; see {@link
   * GracefulShutdown}.
   */
  void shutDownGracefully() {
    shutdown.run();
  }

  /** Blocks until a graceful shutdown has started. */
  void awaitShutdownStart() {
    shutdown.awaitStart();
  }

  /** Blocks until a graceful shutdown is complete. */
  public void awaitTermination() {
    shutdown.awaitCompletion();
  }

  /** Closes the event loop regardless of requests in flight; returns before it has terminated. */
  public void shutDownNow() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
