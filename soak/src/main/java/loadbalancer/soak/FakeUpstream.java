package loadbalancer.soak;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A simulated upstream server. It logs the requests that have a trace id and responds to them
 * according to its mode; to all others, such as health checks, it responds with status 200. It runs
 * on one event loop; callers may use any thread.
 */
final class FakeUpstream implements AutoCloseable {

  /** The behavior of an upstream towards requests that have a trace id. */
  enum Mode {
    /** Responds with status 200. */
    SERVING,
    /** Responds with status 500. */
    FAILING,
    /** Responds with status 503 and a header that says that the request did not run. */
    REJECTING,
    /** Does not respond. */
    HANGING,
    /** Resets the connection when a request has arrived. */
    RESETTING,
    /** Sends half of the response and closes the connection. */
    TRUNCATING,
    /** Responds twice, the second time some milliseconds later. */
    REPEATING,
    /** Sends the first part of a second response right behind each response. */
    LEAVING_SURPLUS,
    /** Rejects as above, and sends the first part of a second rejection right behind each one. */
    REJECTING_WITH_SURPLUS;

    /** Returns whether requests run in this mode, as far as the proxy can know. */
    boolean mayRunRequests() {
      return this != REJECTING && this != REJECTING_WITH_SURPLUS;
    }
  }

  private static final String REJECTION =
      "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 4\r\n\r\nfull";

  private static final int MAX_REQUEST_BYTES = 1 << 17;
  private static final int MAX_SECOND_RESPONSE_DELAY_MILLIS = 5;

  private final EventLoop loop;
  private final String name;
  private final int port;
  private final AttemptLog log;
  private final Random random;
  private final long latencyMillis;
  private final List<Channel> connections = new ArrayList<>();
  private volatile Mode mode = Mode.SERVING;
  private volatile long startedUnixMillis;
  private Channel server;
  private volatile int acceptedConnections;
  private int closedConnections;

  /** Creates an upstream that does not listen yet. */
  FakeUpstream(EventLoop loop, String name, AttemptLog log, long latencyMillis, long seed) {
    this.loop = loop;
    this.name = name;
    this.log = log;
    this.latencyMillis = latencyMillis;
    port = Sockets.freePort();
    random = new Random(seed);
  }

  String name() {
    return name;
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  /** Returns the number of connections that it has accepted. */
  int acceptedConnections() {
    return acceptedConnections;
  }

  /** Returns the start of its current incarnation; 0 if it started long ago. */
  long startedUnixMillis() {
    return startedUnixMillis;
  }

  void setMode(Mode next) {
    mode = next;
  }

  /** Listens as a new incarnation with the given start time; 0 for one that started long ago. */
  void start(long unixMillis) {
    startedUnixMillis = unixMillis;
    server = Sockets.listen(loop, port, this::initialize);
  }

  private void initialize(Channel channel) {
    connections.add(channel);
    acceptedConnections = connections.size() + closedConnections;
    FirstByteRecorder recorder = new FirstByteRecorder();
    channel
        .pipeline()
        .addLast(
            recorder,
            new HttpRequestDecoder(),
            new HttpObjectAggregator(MAX_REQUEST_BYTES),
            new RequestHandler(recorder));
  }

  /** Behaves as a killed process: resets its connections and refuses new ones. */
  void kill() {
    if (server != null) {
      server.close().syncUninterruptibly();
      loop.submit(() -> List.copyOf(connections).forEach(Sockets::reset)).syncUninterruptibly();
    }
  }

  @Override
  public void close() {
    kill();
  }

  /** Records when the first byte of a request arrived. */
  private static final class FirstByteRecorder extends ChannelInboundHandlerAdapter {

    private long firstByteNanos;

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      firstByteNanos = firstByteNanos == 0 ? System.nanoTime() : firstByteNanos;
      context.fireChannelRead(message);
    }

    long takeFirstByteNanos() {
      long taken = firstByteNanos;
      firstByteNanos = 0;
      return taken;
    }
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final FirstByteRecorder recorder;

    RequestHandler(FirstByteRecorder recorder) {
      this.recorder = recorder;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      long firstByteNanos = recorder.takeFirstByteNanos();
      String traceId = request.headers().get("X-Trace-Id");
      if (traceId == null) {
        write(context.channel(), "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      Mode now = mode;
      log.add(
          new Attempt(
              traceId,
              name,
              startedUnixMillis,
              firstByteNanos,
              System.nanoTime(),
              remainingMillis(request),
              now.mayRunRequests(),
              now.toString()));
      respond(context.channel(), now, traceId);
    }

    private long remainingMillis(FullHttpRequest request) {
      String text = request.headers().get("X-Expires-In-Ms");
      return text == null ? -1 : Long.parseLong(text);
    }

    private void respond(Channel channel, Mode now, String traceId) {
      String body = traceId + " by " + name;
      String ok = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
      switch (now) {
        case SERVING -> writeLater(channel, latencyMillis, ok);
        case FAILING -> write(channel, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
        case REJECTING -> write(channel, REJECTION);
        case HANGING -> {
          // No response is sent, and the connection stays open.
        }
        case RESETTING -> Sockets.reset(channel);
        case TRUNCATING -> {
          write(channel, ok.substring(0, ok.length() / 2));
          channel.close();
        }
        case REPEATING -> {
          write(channel, ok);
          writeLater(channel, 1 + random.nextInt(MAX_SECOND_RESPONSE_DELAY_MILLIS), ok);
        }
        case LEAVING_SURPLUS -> write(channel, ok + firstPart(ok));
        case REJECTING_WITH_SURPLUS -> write(channel, REJECTION + firstPart(REJECTION));
      }
    }

    /** Returns a part of a response, at least a byte and not all of it. */
    private String firstPart(String response) {
      return response.substring(0, 1 + random.nextInt(response.length() - 1));
    }

    private void writeLater(Channel channel, long millis, String text) {
      loop.schedule(() -> write(channel, text), millis, TimeUnit.MILLISECONDS);
    }

    private void write(Channel channel, String text) {
      ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
      channel.writeAndFlush(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
      closedConnections++;
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
