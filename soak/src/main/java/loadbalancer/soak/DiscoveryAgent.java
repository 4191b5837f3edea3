package loadbalancer.soak;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A simulated discovery agent of one proxy. It holds a revision of the endpoint list and pushes new
 * revisions to the open watches. Its state is confined to one event loop; callers may use any
 * thread.
 */
final class DiscoveryAgent implements AutoCloseable {

  private static final long HEARTBEAT_MILLIS = 2000;
  private static final int MAX_REQUEST_BYTES = 1 << 16;

  private final EventLoop loop;
  private final EndpointCatalogue catalogue;
  private final Channel server;
  private final List<Watch> watches = new ArrayList<>();
  private final List<Channel> connections = new ArrayList<>();
  private final Semaphore ignoredRequests = new Semaphore(0);
  private int revision;
  private boolean down;
  private boolean startsWithCompleteList;
  private boolean endsWatchesOnChange;

  /** A response that stays open for changes of the list. A silent watch receives nothing more. */
  private static final class Watch {
    private final Channel channel;
    private int sent;
    private boolean silent;

    Watch(Channel channel, int sent) {
      this.channel = channel;
      this.sent = sent;
    }
  }

  /** Starts an agent that has the catalogue's current revision of the list. */
  DiscoveryAgent(EventLoop loop, EndpointCatalogue catalogue) {
    this.loop = loop;
    this.catalogue = catalogue;
    revision = catalogue.revision();
    server = Sockets.listen(loop, 0, this::initialize);
    loop.scheduleAtFixedRate(
        this::heartbeat, HEARTBEAT_MILLIS, HEARTBEAT_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void initialize(Channel channel) {
    connections.add(channel);
    channel
        .pipeline()
        .addLast(
            new HttpServerCodec(),
            new HttpObjectAggregator(MAX_REQUEST_BYTES),
            new RequestHandler());
  }

  /** Returns the address that the agent listens on, as host:port. */
  String address() {
    return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
  }

  /** Advances to a revision of the list, unless the agent has a later one, and pushes it. */
  void advanceTo(int newRevision) {
    loop.execute(
        () -> {
          revision = Math.max(revision, newRevision);
          if (endsWatchesOnChange) {
            List.copyOf(watches).forEach(watch -> Sockets.reset(watch.channel));
          } else {
            watches.forEach(this::push);
          }
        });
  }

  /**
   * Sets whether the agent is down. While down, it ignores requests and sends nothing; open watches
   * stay open.
   */
  void setDown(boolean isDown) {
    loop.execute(
        () -> {
          down = isDown;
          if (!down) {
            watches.forEach(this::push);
          }
        });
  }

  /**
   * Waits until {@code count} further requests have arrived while the agent was down. They are
   * never answered.
   */
  void awaitIgnoredRequests(int count) throws InterruptedException {
    ignoredRequests.acquire(count);
  }

  /**
   * Sets whether each new watch starts with the complete list without draining endpoints. Otherwise
   * it starts with the changes since the revision that the proxy states, where they are known.
   */
  void setStartsWithCompleteList(boolean complete) {
    loop.execute(() -> startsWithCompleteList = complete);
  }

  /** Sets whether open watches are reset instead of delivering a change. */
  void setEndsWatchesOnChange(boolean ends) {
    loop.execute(() -> endsWatchesOnChange = ends);
  }

  /** Silences the currently open watches permanently. */
  void silenceWatches() {
    loop.execute(() -> watches.forEach(watch -> watch.silent = true));
  }

  /** Resets the connections of the currently open watches. */
  void resetWatches() {
    loop.execute(() -> List.copyOf(watches).forEach(watch -> Sockets.reset(watch.channel)));
  }

  /** Stops listening at once, and closes the open connections after a time. */
  void closeAfter(long openMillis) {
    server.close();
    loop.schedule(
        () -> List.copyOf(connections).forEach(Channel::close), openMillis, TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    closeAfter(0);
  }

  private void heartbeat() {
    for (Watch watch : watches) {
      if (!down && !watch.silent) {
        write(watch.channel, "\n");
      }
    }
  }

  private void push(Watch watch) {
    if (!down && !watch.silent && watch.sent < revision) {
      write(watch.channel, catalogue.changesBetween(watch.sent, revision) + "\n");
      watch.sent = revision;
    }
  }

  private static void write(Channel channel, String text) {
    channel.writeAndFlush(
        new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8)));
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (down) {
        ignoredRequests.release();
        return;
      }
      QueryStringDecoder query = new QueryStringDecoder(request.uri());
      if (query.parameters().containsKey("follow")) {
        int since = Integer.parseInt(query.parameters().getOrDefault("since", List.of("0")).get(0));
        startWatch(context.channel(), since);
      } else {
        sendList(context.channel());
      }
    }

    private void startWatch(Channel channel, int since) {
      HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      channel.write(head);
      boolean complete =
          startsWithCompleteList || !catalogue.hasRevision(since) || since > revision;
      Object list =
          complete
              ? catalogue.completeList(revision, startsWithCompleteList)
              : catalogue.changesBetween(since, revision);
      DiscoveryAgent.write(channel, list + "\n");
      watches.add(new Watch(channel, revision));
    }

    private void sendList(Channel channel) {
      byte[] list =
          catalogue.completeList(revision, false).toString().getBytes(StandardCharsets.UTF_8);
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(list));
      HttpUtil.setContentLength(response, list.length);
      channel.writeAndFlush(response);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      watches.removeIf(watch -> watch.channel == context.channel());
      connections.remove(context.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
