package loadbalancer.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalChannel;
import io.netty.channel.local.LocalIoHandler;
import io.netty.channel.local.LocalServerChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Promise;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.Tenant;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointList.Member;
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.http.HttpProtocol;

/**
 * Serves synthetic requests before the first client connects, so that the code that serves requests
 * is loaded and compiled. All components are the real ones except for the transport, which is local
 * to the process. The decision engine is a separate one, which is discarded afterwards.
 *
 * <p>With a fraction of a core, a proxy whose code is still interpreted is itself the bottleneck,
 * and its own delay looks like that of slow endpoints. The warm-up is limited by the number of
 * requests rather than by time, because a fraction of a core would serve too few in a fixed time.
 * Clients that depend on this start have to wait for the whole warm-up.
 */
final class WarmUp {

  private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

  /**
   * Enough requests to compile most of the code that serves one; compiling the rest during service
   * costs clients less than a later start.
   */
  static final int MAX_REQUESTS = 200;

  /** Enough requests to load the classes and to compile the hottest code. */
  static final int MIN_REQUESTS = 40;

  /**
   * Between the two limits, the warm-up serves as many requests as clients send to this instance in
   * this many seconds. An instance of a large fleet has few requests to serve at first, and when
   * most instances restart at once, clients wait for the first one to be ready.
   */
  private static final double TRAFFIC_SECONDS = 0.6;

  /**
   * Number of connections that send requests at the same time, as in service. With a single one,
   * the upstream connection of the previous request would not be reusable yet, and each request
   * would open a new one.
   */
  private static final int CLIENT_CONNECTIONS = 16;

  private static final int ENDPOINT_COUNT = 4;
  private static final long UPSTREAM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Limits the duration of a start on an exceptionally slow machine. */
  private static final long MAX_DURATION_MILLIS = 5000;

  private WarmUp() {}

  /**
   * The result of a warm-up.
   *
   * @param sent number of requests that were sent
   * @param answered number of requests that got a response
   * @param served number of requests that got a response with status 200
   */
  record Result(int sent, int answered, int served) {}

  /** Runs the warm-up and blocks until it has ended. Must not be called on an event loop. */
  static void run(Settings settings) {
    Result result = run(settings, MAX_DURATION_MILLIS);
    int wanted = requestCount(settings);
    if (result.answered < wanted) {
      LOG.info("warm_up_cut_short answered=" + result.answered + " wanted=" + wanted);
    }
  }

  /**
   * Returns the number of requests to serve. It depends on the expected traffic, which follows from
   * the tenants' quotas; without quotas it is {@link #MAX_REQUESTS}.
   */
  static int requestCount(Settings settings) {
    double totalQuota = 0;
    for (Tenant tenant : settings.tenants()) {
      totalQuota += tenant.quotaPerSecond();
    }
    double expectedRequests =
        totalQuota <= 0 ? MAX_REQUESTS : totalQuota / settings.instanceCount() * TRAFFIC_SECONDS;
    return (int) Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, expectedRequests));
  }

  /** Runs the warm-up for at most the given time and returns its result. */
  static Result run(Settings settings, long maxMillis) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    Promise<Void> done = group.next().newPromise();
    WarmUpClient client = new WarmUpClient(settings, requestCount(settings), done);
    try {
      group.execute(() -> start(group, settings, client));
      done.awaitUninterruptibly(maxMillis);
    } finally {
      // Sending is stopped first; otherwise the client would keep sending to closed endpoints and
      // delay the start.
      group.submit(client::stopSending).syncUninterruptibly();
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }
    return client.result();
  }

  private static void start(EventLoopGroup group, Settings settings, WarmUpClient client) {
    LocalAddress upstreamAddress = new LocalAddress(WarmUp.class);
    LocalAddress proxyAddress = new LocalAddress(DownstreamListener.class);
    ProxyComponents components =
        new ProxyComponents.Builder(
                group.next(), settings, generation -> new LoadBalancingEngine(settings, generation))
            .upstreams(
                new Bootstrap().group(group).channel(LocalChannel.class),
                UPSTREAM_IDLE_NANOS,
                false)
            .build();
    components
        .dispatcher()
        .endpointsUpdated(UpdateKind.CACHED, endpoints(settings.zone(), upstreamAddress));
    ServerBootstrap servers = new ServerBootstrap().group(group).channel(LocalServerChannel.class);
    servers.childHandler(new UpstreamInitializer()).bind(upstreamAddress);
    components
        .listener()
        .listen(servers, proxyAddress)
        .addListener(bound -> connectClients(group, proxyAddress, client));
  }

  private static EndpointList endpoints(String zone, SocketAddress address) {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < ENDPOINT_COUNT; i++) {
      members.add(new Member("warm-up-" + i, address, zone, 0, EndpointState.READY, 1, 0));
    }
    return new EndpointList(0, true, members);
  }

  private static void connectClients(
      EventLoopGroup group, SocketAddress address, WarmUpClient client) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(LocalChannel.class)
            .handler(new ClientInitializer(client));
    for (int i = 0; i < CLIENT_CONNECTIONS; i++) {
      bootstrap.connect(address);
    }
  }

  private static final class ClientInitializer extends ChannelInitializer<Channel> {

    private final WarmUpClient client;

    ClientInitializer(WarmUpClient client) {
      this.client = client;
    }

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(
              new HttpClientCodec(), new HttpObjectAggregator(HttpProtocol.MAX_BODY_BYTES), client);
    }
  }

  private static final class UpstreamInitializer extends ChannelInitializer<Channel> {

    @Override
    protected void initChannel(Channel channel) {
      channel
          .pipeline()
          .addLast(
              new HttpServerCodec(),
              new HttpObjectAggregator(HttpProtocol.MAX_BODY_BYTES),
              new EchoUpstream());
    }
  }

  /** An upstream that responds to every request with status 200 and the request's body. */
  private static final class EchoUpstream extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, request.content().retain());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
      // In a later turn of the event loop: within a process a response could otherwise arrive
      // before the write of its request is known to be complete. The attempt would count as a
      // reset, and the endpoint would be ejected.
      context.executor().execute(() -> context.writeAndFlush(response));
    }
  }
}
