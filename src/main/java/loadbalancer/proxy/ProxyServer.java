package loadbalancer.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongFunction;
import java.util.logging.Logger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.gossip.GossipChannel;
import loadbalancer.net.DescriptorBudget;
import loadbalancer.net.MonotonicClock;
import loadbalancer.net.RoundingIoHandler;
import loadbalancer.telemetry.EventLoopLagMonitor;
import loadbalancer.upstream.ConnectionPool;
import loadbalancer.upstream.UpstreamChannel;

/** One balancer, from start to stop: wires the parts together on one event loop. */
public final class ProxyServer {

  private static final Logger LOG = Logger.getLogger(ProxyServer.class.getName());

  private static final int BACKLOG = 1024;
  /** The part of the memory, one in so many, that clients' bodies may take: half of what `run` gives to buffers. */
  private static final int BODIES_PART = 16;
  private static final int DISCOVERY_CONNECT_MILLIS = 1000;
  /** A start waits no longer than this for the list: without discovery the one that was known is better than no service. */
  private static final long LIST_MILLIS = 2000;
  /** After SIGTERM new connections go on coming for up to 0.4 s; they are taken for longer, also where deadlines are short. */
  static final long ACCEPT_MILLIS = 550;
  /**
   * Clients go on using the connections that they have, and while this balancer is away others may be too: it serves them for
   * this long at most, and has the rest of the time for what is then in hand.
   */
  private static final long SERVE_MILLIS = 2200;
  private static final long LEAST_REST_MILLIS = 400;
  /** SIGKILL comes so long after SIGTERM, beyond the longest deadline that counts. */
  private static final long KILL_MILLIS = 700;
  private static final long MOST_DEADLINE_MILLIS = 3000;
  /** So much sooner all that is in hand is answered: the loop may be behind. What came before SIGTERM has had its time by then. */
  private static final long STOP_EARLY_MILLIS = 600;
  /** And the answers so long to leave. */
  private static final long FLUSH_MILLIS = 150;
  private static final long STOP_CHECK_MILLIS = 20;

  private final BalancerConfig config;
  private final EventLoopGroup group;
  private final EventLoop loop;
  private final AtomicBoolean stopBegun = new AtomicBoolean();
  private final CountDownLatch listed = new CountDownLatch(1);
  private final CountDownLatch stopping = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private RequestDispatcher node;
  private DownstreamListener frontend;
  private DiscoveryClient discovery;
  private GossipChannel peers;
  private Channel listener;
  private boolean pushed;
  private int agentFailures;
  private long stopMillis;

  private ProxyServer(BalancerConfig config) {
    this.config = config;
    group = new MultiThreadIoEventLoopGroup(1, RoundingIoHandler.newFactory());
    loop = group.next();
  }

  /** Starts a balancer and returns once it listens. */
  static ProxyServer start(BalancerConfig config) {
    ProxyServer server = prepare(config);
    server.listen();
    return server;
  }

  /** All of a start but listening: until then nobody is owed anything. */
  public static ProxyServer prepare(BalancerConfig config) {
    return prepare(config, n -> new LoadBalancingEngine(config.settings(), config.seed() + n), LIST_MILLIS);
  }

  /**
   * The same around other decisions; {@code modules} makes the n-th module of this process. Waits so long for discovery's first
   * word: what it has told counts as told from the process's first moment, and the list that is known may be older.
   */
  public static ProxyServer prepare(BalancerConfig config, LongFunction<DecisionEngine> modules, long listMillis) {
    ProxyServer server = new ProxyServer(config);
    try {
      server.loop.submit(() -> server.wire(modules)).syncUninterruptibly();
      long listedBy = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(listMillis);
      WarmUp.run(config.settings());
      if (!await(server.listed, listedBy - System.nanoTime())) {
        LOG.warning("discovery says nothing: the list that was known has to do");
      }
    } catch (RuntimeException e) {
      server.shutDownNow();
      throw e;
    }
    return server;
  }

  /** Opens it to clients and to other balancers. */
  public void listen() {
    try {
      if (config.peerListen() != null && config.settings().limits().gossip()) {
        peers.listen(group, config.peerListen(), node).syncUninterruptibly();
      }
      listener = frontend.listen(new ServerBootstrap().group(group)
          .channel(NioServerSocketChannel.class).option(ChannelOption.SO_BACKLOG, BACKLOG)
          .option(ChannelOption.SO_REUSEADDR, true).childOption(ChannelOption.TCP_NODELAY, true)
          .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true), config.listen())
          .syncUninterruptibly().channel();
      loop.submit(frontend::markReady).syncUninterruptibly();
    } catch (RuntimeException e) {
      shutDownNow();
      throw e;
    }
    LOG.info(() -> config.name() + " serves at " + address() + ", " + config.known().members().size()
        + " upstreams known");
  }

  /** How long after SIGTERM all that is in hand gets its answer. Guards against a SIGKILL that short deadlines bring early. */
  static long stopMillis(Settings settings) {
    long longest = settings.classes().stream().mapToLong(RequestClass::deadlineNanos).max().orElse(0);
    long killMillis = Math.min(MOST_DEADLINE_MILLIS, TimeUnit.NANOSECONDS.toMillis(longest)) + KILL_MILLIS;
    return Math.max(ACCEPT_MILLIS, killMillis - STOP_EARLY_MILLIS);
  }

  private void wire(LongFunction<DecisionEngine> modules) {
    stopMillis = stopMillis(config.settings());
    MonotonicClock clock = new MonotonicClock();
    EndpointDirectory fleet = new EndpointDirectory(clock);
    DescriptorBudget sockets = new DescriptorBudget(config.sockets());
    Bootstrap connections = new Bootstrap().group(group).channelFactory(UpstreamChannel::new)
        .option(ChannelOption.TCP_NODELAY, true);
    ConnectionPool pool = new ConnectionPool(connections, sockets, config.settings().limits().connectTimeoutNanos(),
        config.idleNanos(), fleet::isReady);
    peers = new GossipChannel(config.settings().instanceIndex(), config.peers(), config.peersAll());
    pushed = !config.settings().polledDiscovery();
    discovery = new DiscoveryClient(
        connections.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, DISCOVERY_CONNECT_MILLIS),
        config.discovery(), pushed, fleet::revision, this::news);
    node = new RequestDispatcher(loop, clock, config.settings(), config.loadReports(), modules, fleet, pool, discovery, peers);
    frontend = new DownstreamListener(node, clock, new EventLoopLagMonitor(loop, clock), sockets, pool, config.settings(), config.memoryBytes() / BODIES_PART);
    node.news(UpdateKind.CACHED, config.known());
    if (pushed) {
      discovery.watch(true);
    }
  }

  private void news(UpdateKind kind, EndpointList list) {
    if (kind != UpdateKind.FAILED) {
      listed.countDown();
    }
    if (kind != UpdateKind.FAILED || !pushed) {
      agentFailures = 0;
      node.news(kind, list);
    } else {
      long backoff = AgentRetryPolicy.backoffMillis(agentFailures++);
      loop.schedule(discovery::resumeWatch, ThreadLocalRandom.current().nextLong(backoff / 2, backoff), TimeUnit.MILLISECONDS);
    }
  }

  /** Where a configuration comes from. */
  interface Source {
    BalancerConfig read() throws IOException;
  }

  /**
   * Reads the configuration again and follows discovery to where it says; all else waits for a restart. One that can't be
   * read changes nothing. One at a time: each signal has its thread, and what was read first must not be carried out last.
   */
  synchronized void reload(Source source) {
    try {
      InetSocketAddress to = source.read().discovery();
      loop.execute(() -> discovery.moveTo(to));
      LOG.info(() -> "configuration read again, discovery at " + to);
    } catch (IOException | RuntimeException e) {
      LOG.warning("configuration not taken, the one before stays: " + BalancerConfig.describeProblem(e));
    }
  }

  DownstreamListener frontend() {
    return frontend;
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Waits for the start of {@link #stop}. */
  void awaitShutdownStart() {
    await(stopping, Long.MAX_VALUE);
  }

  /** Waits for the end of {@link #stop}. */
  public void awaitTermination() {
    await(stopped, Long.MAX_VALUE);
  }

  private static boolean await(CountDownLatch latch, long nanos) {
    try {
      return latch.await(nanos, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /** Takes what still comes for a while, answers all that was taken, and returns when no client is left. Once: again it waits. */
  void shutDownGracefully() {
    if (!stopBegun.compareAndSet(false, true)) {
      awaitTermination();
      return;
    }
    LOG.info("stopping");
    loop.execute(() -> {
      frontend.startDraining();
      stopping.countDown();
      loop.schedule(frontend::stopAccepting, ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
      loop.schedule(() -> {
        frontend.closeIdleConnections();
        finish();
      }, Math.max(ACCEPT_MILLIS, Math.min(SERVE_MILLIS, stopMillis - LEAST_REST_MILLIS)), TimeUnit.MILLISECONDS);
      loop.schedule(() -> {
        LOG.info(() -> "its time is over: " + node.inHand() + " requests in hand, " + frontend.connectionCount() + " connections");
        node.end();
        frontend.expireIncompleteRequests();
      }, stopMillis, TimeUnit.MILLISECONDS);
      loop.schedule(drained::countDown, stopMillis + FLUSH_MILLIS, TimeUnit.MILLISECONDS);
    });
    await(drained, Long.MAX_VALUE);
    shutDownNow();
    LOG.info("stopped");
    stopped.countDown();
  }

  /** Ends at once, whatever is in hand. */
  public void shutDownNow() {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private void finish() {
    if (frontend.connectionCount() > 0) {
      loop.schedule(this::finish, STOP_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      drained.countDown();
    }
  }
}
