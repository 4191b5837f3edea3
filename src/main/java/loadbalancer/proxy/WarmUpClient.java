package loadbalancer.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Promise;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.Settings;
import loadbalancer.http.HttpProtocol;

/**
 * The client side of the warm-up: sends the next request on a connection when the response to the
 * previous one has arrived. Shared by all connections, which are on one event loop.
 */
@Sharable
final class WarmUpClient extends SimpleChannelInboundHandler<FullHttpResponse> {

  private static final int BODY_BYTES = 200;
  private static final int AFFINITY_KEYS = 100;
  private static final int WORK_HINT_MICROS = 10_000;

  private final List<RequestClass> classes;
  private final String tenant;
  private final int requestCount;
  private final Promise<Void> done;
  private int sent;
  private int answered;
  private int served;
  private boolean isStopped;

  /**
   * Creates a client that sends {@code requestCount} requests in total, of the settings' classes in
   * turn.
   *
   * @param done completed when all of them have a response
   */
  WarmUpClient(Settings settings, int requestCount, Promise<Void> done) {
    classes = settings.classes();
    tenant = settings.tenants().isEmpty() ? "warm-up" : settings.tenants().get(0).name();
    this.requestCount = requestCount;
    this.done = done;
  }

  /** Stops sending requests. */
  void stopSending() {
    isStopped = true;
  }

  /** Returns the result, which is final once the event loop has terminated. */
  WarmUp.Result result() {
    return new WarmUp.Result(sent, answered, served);
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    sendNext(context);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
    if (response.status().equals(HttpResponseStatus.OK)) {
      served++;
    }
    answered++;
    if (answered == requestCount) {
      done.trySuccess(null);
    }
    sendNext(context);
  }

  private void sendNext(ChannelHandlerContext context) {
    if (isStopped || sent == requestCount) {
      return;
    }
    FullHttpRequest request = request(sent);
    sent++;
    context.writeAndFlush(request);
  }

  private FullHttpRequest request(int number) {
    RequestClass requestClass = classes.get(number % classes.size());
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.POST,
            HttpProtocol.API_PATH,
            Unpooled.wrappedBuffer(new byte[BODY_BYTES]));
    request
        .headers()
        .set(HttpHeaderNames.HOST, "warm-up")
        .set(HttpProtocol.TRACE_ID_HEADER, "warm-up-" + number)
        .set(HttpProtocol.CLASS_HEADER, requestClass.name())
        .set(HttpProtocol.TENANT_HEADER, tenant)
        .set(HttpProtocol.WORK_HINT_HEADER, WORK_HINT_MICROS)
        .set(HttpProtocol.IDEMPOTENCY_KEY_HEADER, number)
        .set(HttpHeaderNames.COOKIE, HttpProtocol.AFFINITY_COOKIE + "=" + number % AFFINITY_KEYS)
        .set(
            HttpProtocol.TIMEOUT_HEADER,
            TimeUnit.NANOSECONDS.toMillis(requestClass.deadlineNanos()))
        .set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES);
    return request;
  }
}
