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
 * Serves requests of its own before the first client comes, so that the code on a request's way is
 * loaded and compiled. Everything is the real thing but the transport, which stays inside the
 * process, and the decision engine, which is thrown away.
 *
 * <p>With a part of a core, a proxy whose code is still interpreted is the bottleneck itself, and
 * its own delay looks like that of slow endpoints. The warm-up is bounded by work rather than by
 * time: in a fixed time a part of a core would do too little of it. Clients wait for all of it
 * where a start is urgent.
 */
final class WarmUp {

  private static final Logger LOG = Logger.getLogger(WarmUp.class.getName());

  /**
   * Compiles most of the code on a request's way; what is left costs clients less than a later
   * start.
   */
  static final int MAX_REQUESTS = 200;

  /** Loads the classes, and compiles what runs most. */
  static final int MIN_REQUESTS = 40;

  /**
   * Between the two, as many requests as clients send to this instance in so many seconds. An
   * instance of a large fleet has few to serve at first, and when most are restarted at once
   * clients wait for the first to be ready.
   */
  private static final double TRAFFIC_SECONDS = 0.6;

  /**
   * Connections that send requests at the same time, as in service: a single one would find its
   * upstream connection still resting, and open a new one each time.
   */
  private static final int CLIENT_CONNECTIONS = 16;

  private static final int ENDPOINT_COUNT = 4;
  private static final long UPSTREAM_IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Bounds a start on a machine that is far slower than any seen. */
  private static final long MAX_DURATION_MILLIS = 5000;

  private WarmUp() {}

  /**
   * How far a warm-up came.
   *
   * @param sent requests that its clients sent
   * @param answered requests that got a response
   * @param served requests whose response was 200
   */
  record Result(int sent, int answered, int served) {}

  /** Blocks until the warm-up is over; not for an event loop. */
  static void run(Settings settings) {
    Result result = run(settings, MAX_DURATION_MILLIS);
    int wanted = requestCount(settings);
    if (result.answered < wanted) {
      LOG.info("warm_up_cut_short answered=" + result.answered + " wanted=" + wanted);
    }
  }

  /**
   * How many requests to serve: the most where the settings do not say how much traffic to expect.
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

  /** The same with another limit of time. */
  static Result run(Settings settings, long maxMillis) {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, LocalIoHandler.newFactory());
    Promise<Void> done = group.next().newPromise();
    WarmUpClient client = new WarmUpClient(settings, requestCount(settings), done);
    try {
      group.execute(() -> start(group, settings, client));
      done.awaitUninterruptibly(maxMillis);
    } finally {
      // The clients first: else they would go on against endpoints that are closed, and hold the
      // start up.
      group.submit(client::stop).syncUninterruptibly();
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

  /** An endpoint that serves every request. */
  private static final class EchoUpstream extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, request.content().retain());
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
      // In a later turn: inside a process a response could else arrive before its request's write
      // is known to have
      // ended. The pool would count it as broken, and its endpoint would be ejected.
      context.executor().execute(() -> context.writeAndFlush(response));
    }
  }
}
