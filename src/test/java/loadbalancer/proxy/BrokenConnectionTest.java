package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Connections that break during a response or while idle, and the data that is lost with them. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class BrokenConnectionTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static BalancerConfig singleEndpointConfig(FakeServer upstream) throws IOException {
    return ProxyFixture.config(
        UNREACHABLE,
        ProxyFixture.endpointListJson(
            1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready")));
  }

  /**
   * A reset is not the end of a response, not even of one without a length: the part before it must
   * not reach the client as a complete response.
   */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK~~part",
        "HTTP/1.1 200 OK~Connection: close~~part",
        "HTTP/1.1 200 OK~~",
        "HTTP/1.1 200 OK~Content-Length: 20~~part",
        "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~4~part~"
      })
  void doesNotForwardAResponseThatIsResetOnTheWay(String partialResponse) throws Exception {
    ScriptedEngine engine = new ScriptedEngine(LONG_TIMEOUT_NANOS);
    CountDownLatch partialResponseRead = new CountDownLatch(1);
    CountDownLatch partialResponseWritten = new CountDownLatch(1);
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  c.readRequest();
                  c.write(partialResponse.replace("~", "\r\n"));
                  partialResponseWritten.countDown();
                  partialResponseRead.await();
                  c.reset();
                });
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream), engine);
        Client client = proxy.client()) {
      client.write(ProxyFixture.get("t", ""));
      partialResponseWritten.await();
      // After two turns of the event loop the proxy has read what the upstream has written.
      for (int i = 0; i < 2; i++) {
        try (Client other = proxy.client()) {
          other.exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        }
      }
      partialResponseRead.countDown();
      String response = client.readResponse();
      assertTrue(response.startsWith("HTTP/1.1 502 ") && !response.contains("part"), response);
      assertEquals(AttemptStatus.RESET, engine.awaitEvent(AttemptEnded.class).status());
    }
  }

  /** A connection is reset while idle: the next request is sent once, on a new connection. */
  @Test
  void replacesAConnectionThatWasResetWhileIdle() throws Exception {
    ScriptedEngine engine = new ScriptedEngine(LONG_TIMEOUT_NANOS);
    CountDownLatch resetRequested = new CountDownLatch(1);
    AtomicInteger connections = new AtomicInteger();
    try (FakeServer upstream =
            new FakeServer(
                c -> {
                  boolean isFirst = connections.incrementAndGet() == 1;
                  for (String request = c.readRequest();
                      request != null;
                      request = c.readRequest()) {
                    c.write(FakeServer.ok("x"));
                    if (isFirst) {
                      resetRequested.await();
                      c.reset();
                      return;
                    }
                  }
                });
        ProxyFixture proxy = new ProxyFixture(singleEndpointConfig(upstream), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t1", "")).startsWith("HTTP/1.1 200 "));
      Thread.sleep(50); // The upstream connection is reusable by then.
      FakeServer.Connection idleConnection = upstream.connections.take();
      resetRequested.countDown();
      assertTrue(idleConnection.awaitScriptEnd());
      assertTrue(client.exchange(ProxyFixture.get("t2", "")).startsWith("HTTP/1.1 200 "));
      for (int i = 0; i < 2; i++) {
        assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
      }
      assertEquals(2, upstream.requests.size(), "each is sent once");
    }
  }

  /**
   * Without TCP_NODELAY the kernel could hold back small writes and discard them when the
   * connection is reset.
   */
  @Test
  void sendsSmallWritesWithoutDelay() throws Exception {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      ServerBootstrap clients = Bootstraps.forClients(group);
      assertEquals(
          true, clients.config().childOptions().get(ChannelOption.TCP_NODELAY), "to clients");
      Bootstrap upstreams =
          Bootstraps.forUpstreams(group).handler(new ChannelInboundHandlerAdapter());
      Channel channel = upstreams.connect(listener.getLocalSocketAddress()).sync().channel();
      assertEquals(
          true,
          channel.config().getOption(ChannelOption.TCP_NODELAY),
          "to upstreams and discovery");
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }
}
