package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that bytes after a response are not taken for the response to the next request. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class SecondResponseTest {

  /** Longer than the initial quiet period after a response, far shorter than the idle timeout. */
  private static final long QUIET_PERIOD_MILLIS = 15;

  private final ScriptedEngine engine = new ScriptedEngine(SingleEndpoint.LONG_TIMEOUT_NANOS);

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"true", "false"})
  void closesConnectionOnBytesAfterResponse(boolean isSingleWrite) throws Exception {
    String surplus = FakeServer.ok("surplus");
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  String request = connection.readRequest();
                  boolean isFirst = request.contains("X-Trace-Id: t1");
                  String response = FakeServer.ok(isFirst ? "first" : "second");
                  connection.write(isSingleWrite ? response + surplus : response);
                  if (!isSingleWrite) {
                    connection.write(surplus);
                  }
                  connection.readRequest();
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t1", "")).endsWith("\r\n\r\nfirst"));
      assertTrue(upstream.connections.take().awaitScriptEnd(), "closed by the proxy");
      assertTrue(client.exchange(ProxyFixture.get("t2", "")).endsWith("\r\n\r\nsecond"));
    }
  }

  /**
   * Guards against a leftover in the decoder that the next response on the connection completes: a
   * client got another client's response, and a rejected request's successor ran twice. The
   * leftover follows the response in the same write. In it, {@code ~} stands for a line break.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "200 OK|HTTP/1.1 200 OK~Content-Length: 30~~surplus",
        "200 OK|HTTP/1.1 200 OK~Content-Len",
        "200 OK|HTTP/1.1 ",
        "200 OK|garbage",
        "200 OK|HTTP/1.1 100 Continue~~HTTP/1.1 200 OK~Content-Length: 30~~surplus",
        "503 Full~X-Never-Ran: 1|HTTP/1.1 503 Full~X-Never-Ran: 1~Content-Length: 30~~surplus",
        "500 Error|HTTP/1.1 200 OK~Transfer-Encoding: chunked~~1e~surplus",
      })
  void closesConnectionOnLeftoverBehindResponse(String status, String leftover) throws Exception {
    String first = "HTTP/1.1 " + status + "~Content-Length: 5~~first" + leftover;
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  for (String request = connection.readRequest();
                      request != null;
                      request = connection.readRequest()) {
                    boolean isFirst = request.contains("X-Trace-Id: t1");
                    connection.write(
                        isFirst ? first.replace("~", "\r\n") : FakeServer.ok("second"));
                  }
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      String firstResponse = client.exchange(ProxyFixture.get("t1", ""));
      assertEquals(status.startsWith("200"), firstResponse.endsWith("\r\n\r\nfirst"));
      Thread.sleep(QUIET_PERIOD_MILLIS); // The connection would be reused after it.
      assertTrue(client.exchange(ProxyFixture.get("t2", "")).endsWith("\r\n\r\nsecond"));
      assertEquals(2, upstream.connections.size(), "the first connection is not used again");
      assertTrue(upstream.connections.take().awaitScriptEnd(), "closed by the proxy");
    }
  }

  /**
   * A second response arrives on an idle connection after the initial quiet period. From then on
   * the quiet period is longer: on a reused connection the next late response would be taken for
   * the response to another request.
   */
  @Test
  void extendsQuietPeriodAfterLateSecondResponse() throws Exception {
    long delayMillis = 45;
    AtomicInteger connectionCount = new AtomicInteger();
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  int connectionNumber = connectionCount.incrementAndGet();
                  for (String request = connection.readRequest();
                      request != null;
                      request = connection.readRequest()) {
                    boolean isFirst = request.contains("X-Trace-Id: t1");
                    connection.write(FakeServer.ok(isFirst ? "first" : "next"));
                    if (connectionNumber == 1) {
                      Thread.sleep(delayMillis); // Exceeds the initial quiet period.
                      connection.write(FakeServer.ok("surplus"));
                    }
                  }
                });
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t1", "")).endsWith("\r\n\r\nfirst"));
      assertTrue(upstream.connections.take().awaitScriptEnd(), "closed by the proxy");
      assertTrue(client.exchange(ProxyFixture.get("t2", "")).endsWith("\r\n\r\nnext"));
      Thread.sleep(QUIET_PERIOD_MILLIS); // Far shorter than the extended quiet period.
      assertTrue(client.exchange(ProxyFixture.get("t3", "")).endsWith("\r\n\r\nnext"));
      assertEquals(3, connectionCount.get(), "the second connection is still in its quiet period");
      Thread.sleep(4 * delayMillis);
      assertTrue(client.exchange(ProxyFixture.get("t4", "")).endsWith("\r\n\r\nnext"));
      assertEquals(3, connectionCount.get(), "reused after its quiet period");
    }
  }

  /** Bytes are detected although the event loop has not read them. */
  @Test
  void detectsUnreadBytesOnConnection() throws Exception {
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
      try {
        UpstreamChannel channel =
            (UpstreamChannel)
                new Bootstrap()
                    .group(group)
                    .channelFactory(UpstreamChannel::new)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInboundHandlerAdapter())
                    .connect(listener.getLocalSocketAddress())
                    .sync()
                    .channel();
        try (Socket peer = listener.accept()) {
          assertTrue(channel.hasNothingUnread());
          peer.getOutputStream().write(1);
          while (channel.hasNothingUnread()) {
            Thread.onSpinWait();
          }
        }
      } finally {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
      }
    }
  }
}
