package loadbalancer.discovery;

import com.fasterxml.jackson.core.JsonFactory;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import loadbalancer.json.JsonFields;
import loadbalancer.json.MalformedInputException;
import loadbalancer.decision.api.UpdateKind;

/** Asks discovery for the list of upstreams, once or as a watch on its changes, and says when that fails. */
public final class DiscoveryClient implements EndpointSource {

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

  private static final String LIST = "/v1/servers";
  /**
   * After this long without a byte a call has failed. Discovery writes a line every 2 s; what it should have told counts as
   * told {@link #TOLD_MILLIS} after it had it, so that a watch that is silently dead has to be noticed, and replaced, well before
   * that: the first that takes its place may be as dead, and the next one too. The sums are in DiscoveryTest.
   */
  static final long SILENCE_MILLIS = 2800;
  /** Whatever failed before, a change counts as told so long after discovery had it and could be reached. */
  static final long TOLD_MILLIS = 6000;
  /** An agent on this machine answers at once: a watch to it without a first list after this is dead from the start. */
  public static final long AGENT_MILLIS = 750;
  /**
   * Where lists are asked for, calls wait in turn: the first list may take so long, and twice that after every call that was given
   * up, as long as silence may last at most. Who gave up as soon each time would never get through a long queue.
   */
  static final long CALL_MILLIS = 1400;
  static final long SILENCE_CHECK_MILLIS = 100;
  /** A list that has begun and is not whole after this is cut off: what comes next would only be taken for the rest of it. */
  static final long WHOLE_MILLIS = 1000;
  /** The longest answer read: a list of thousands of upstreams, each with all its fields and indented. */
  private static final int MOST_BYTES = 4 << 20;

  private final Bootstrap bootstrap;
  private final LongSupplier revision;
  private final BiConsumer<UpdateKind, EndpointList> news;
  private final boolean pushed;
  private final JsonFactory json = new JsonFactory();
  private InetSocketAddress address;
  private Stream watch;
  /** Whether a watch is wanted, also while none stands because the last one failed. */
  private boolean watching;
  private boolean failing;
  /** Calls given up one after the other without a first list. */
  private int givenUp;

  /** {@code revision} is the version of the list held; {@code news} is told of every answer, and of failures. */
  public DiscoveryClient(Bootstrap bootstrap, InetSocketAddress address, boolean pushed, LongSupplier revision,
      BiConsumer<UpdateKind, EndpointList> news) {
    this.bootstrap = bootstrap;
    this.address = address;
    this.pushed = pushed;
    this.revision = revision;
    this.news = news;
  }

  /** How long a call may take to bring its first list, when so many before it were given up. */
  static long patienceMillis(boolean pushed, int givenUp) {
    return pushed ? AGENT_MILLIS : Math.min(SILENCE_MILLIS, CALL_MILLIS << Math.min(givenUp, 10));
  }

  /** Discovery has another address: what is watched is watched there from now on, and the old connection ends. */
  public void moveTo(InetSocketAddress to) {
    if (!to.equals(address)) {
      address = to;
      givenUp = 0;
      watch(watching);
    }
  }

  @Override
  public void watch(boolean on) {
    watching = on;
    if (watch != null) {
      watch.stop();
      watch = null;
    }
    if (on) {
      watch = new Stream(LIST + "?follow=1&since=" + revision.getAsLong(), true);
      watch.open();
    }
  }

  /** Watches again, if a watch is wanted and none stands. */
  public void resumeWatch() {
    if (watching && watch == null) {
      watch(true);
    }
  }

  @Override
  public void fetch() {
    new Stream(LIST, false).open();
  }

  /** One call. */
  private final class Stream extends SimpleChannelInboundHandler<HttpObject> {

    private final String uri;
    private final boolean lasting;
    private final Lists lists = new Lists();
    private final long patienceMillis = patienceMillis(pushed, givenUp);
    private final long openedAt = System.nanoTime();
    private Channel channel;
    private long heardAt = openedAt;
    /** Since when a list has been coming in that is not whole; 0 while none is. */
    private long begunAt;
    private boolean told;
    private Future<?> check;
    private boolean over;

    Stream(String uri, boolean lasting) {
      this.uri = uri;
      this.lasting = lasting;
    }

    void open() {
      ChannelFuture connect = bootstrap.clone().handler(new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel made) {
          made.pipeline().addLast(new HttpClientCodec(), Stream.this, lists, new Teller());
        }
      }).connect(address);
      if (connect.isDone() && !connect.isSuccess()) {
        // No socket could be made at all; such a failure would be announced on a thread that is not ours.
        bootstrap.config().group().next().execute(() -> fail("no socket"));
        return;
      }
      channel = connect.channel();
      check = bootstrap.config().group().next().scheduleWithFixedDelay(this::checkSilence, SILENCE_CHECK_MILLIS,
          SILENCE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
      connect.addListener(f -> {
        if (f.isSuccess()) {
          HttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
          request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress() + ":" + address.getPort());
          channel.writeAndFlush(request);
        } else {
          fail("can't connect");
        }
      });
    }

    void stop() {
      over = true;
      if (channel != null) {
        check.cancel(false);
        channel.close();
      }
    }

    private void fail(String why) {
      if (!over) {
        stop();
        watch = watch == this ? null : watch;
        if (!failing) {
          LOG.warning("discovery fails: " + why);
          failing = true;
        }
        news.accept(UpdateKind.FAILED, EndpointList.NONE);
      }
    }

    /** Guards against a watch that is dead without a word: TCP alone would never tell. */
    private void checkSilence() {
      String why = overdue();
      if (why != null) {
        givenUp += told ? 0 : 1;
        fail(why);
      }
    }

    /** What it has not done in time; null where it has. Before its first list empty lines are no sign of life. */
    private String overdue() {
      return isOver(told ? heardAt : openedAt, told ? SILENCE_MILLIS : patienceMillis) ? "silent"
          : begunAt != 0 && isOver(begunAt, WHOLE_MILLIS) ? "a list was cut off" : null;
    }

    private static boolean isOver(long since, long millis) {
      return System.nanoTime() - since > TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      heardAt = System.nanoTime();
      if (message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK)) {
        fail("status " + response.status().code());
      } else if (!message.decoderResult().isSuccess()) {
        fail("malformed answer");
      } else if (message instanceof HttpContent content) {
        context.fireChannelRead(content.content().retain());
        begunAt = !lists.partial() ? 0 : begunAt == 0 ? heardAt : begunAt;
        if (message instanceof LastHttpContent) {
          end();
        }
      }
    }

    private void end() {
      if (told && !lasting) {
        stop();
      }
      fail("watch ended");
    }

    private void tell(String text) {
      if (over) {
        return;
      }
      begunAt = 0;
      EndpointList list;
      try {
        list = EndpointListParser.parse(JsonFields.parse(json, "list", text));
      } catch (MalformedInputException e) {
        fail(e.getMessage());
        return;
      }
      if (failing) {
        LOG.info("discovery answers again");
        failing = false;
      }
      told = true;
      givenUp = 0;
      news.accept(list.complete() ? UpdateKind.FULL : UpdateKind.DELTA, list);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      fail("connection lost");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      fail(cause.toString());
    }

    /** What is between the braces of one list, however it is laid out, goes on to be told. */
    private final class Teller extends SimpleChannelInboundHandler<ByteBuf> {
      @Override
      protected void channelRead0(ChannelHandlerContext context, ByteBuf text) {
        tell(text.toString(StandardCharsets.UTF_8));
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(cause.toString());
      }
    }
  }

  /** Cuts an answer into its lists. Lines do not tell them apart: a list may be indented and so take many. */
  private static final class Lists extends JsonObjectDecoder {

    Lists() {
      super(MOST_BYTES);
    }

    /** Whether a list has begun that is not whole. */
    boolean partial() {
      return actualReadableBytes() > 0;
    }
  }
}
