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
      Thread.sleep(15); // Longer than the initial quiet period, far shorter than the extended one.
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
