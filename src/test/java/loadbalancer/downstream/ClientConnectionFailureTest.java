package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.api.Settings;
import loadbalancer.http.MessageMemory;
import loadbalancer.net.LoopIterations;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.ClientActivity;
import loadbalancer.telemetry.EventLoopLagMonitor;
import loadbalancer.testing.ProxyFixture;
import org.junit.jupiter.api.Test;

/** Tests failures in the pipeline of a client connection that the client has not caused. */
class ClientConnectionFailureTest {

  private final List<DownstreamRequest> accepted = new ArrayList<>();
  private final EmbeddedChannel channel = new EmbeddedChannel();

  ClientConnectionFailureTest() throws IOException {
    Settings settings =
        ProxyFixture.config(
                DownstreamFixture.UNREACHABLE_ADDRESS, ProxyFixture.endpointListJson(1, true))
            .settings();
    MonotonicClock clock = new MonotonicClock();
    ListenerState listenerState = new ListenerState();
    ClientActivity activity = new ClientActivity();
    RequestRouter router =
        new RequestRouter(
            new AcceptingHandler(),
            new RequestParser(settings, clock, new EventLoopLagMonitor(channel.eventLoop(), clock)),
            listenerState);
    new ClientConnection(
            channel,
            new ListenerContext(
                new AcceptingHandler(),
                router,
                new ClientConnections(activity),
                listenerState,
                MessageMemory.unlimited(),
                new LoopIterations(channel.eventLoop()),
                activity))
        .addHandlers();
  }

  /** Records the requests that it accepts; the test responds to them. */
  private final class AcceptingHandler implements RequestHandler {
    @Override
    public void accept(DownstreamRequest request) {
      accepted.add(request);
    }

    @Override
    public void clientDisconnected(String traceId) {}

    @Override
    public void clientHalfClosed(String traceId) {}

    @Override
    public void abort(String traceId) {}

    @Override
    public boolean mustNotRunAgain(String traceId) {
      return false;
    }

    @Override
    public boolean isReady() {
      return true;
    }
  }

  private void receive(String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  private String takeOutput() {
    StringBuilder sent = new StringBuilder();
    for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
      sent.append(part.toString(StandardCharsets.ISO_8859_1));
      part.release();
    }
    return sent.toString();
  }

  /** The failure is, for example, a lack of memory for the read buffer. */
  @Test
  void respondsToARequestInFlightAfterAFailure() {
    receive(ProxyFixture.get("t", ""));
    assertEquals(1, accepted.size());
    channel.pipeline().fireExceptionCaught(new OutOfMemoryError("no buffer"));
    assertTrue(channel.isOpen(), "the connection stays open until the response");
    accepted
        .get(0)
        .responseSink()
        .respond(HttpResponseStatus.OK, 0, "text/plain", Unpooled.EMPTY_BUFFER);
    assertTrue(takeOutput().startsWith("HTTP/1.1 200 "));
  }

  @Test
  void respondsWithAnErrorToAPartialRequestAfterAFailure() {
    receive("GET /api HTTP/1.1\r\nHo");
    channel.pipeline().fireExceptionCaught(new OutOfMemoryError("no buffer"));
    assertTrue(takeOutput().startsWith("HTTP/1.1 500 "));
  }
}
