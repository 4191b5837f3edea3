package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Settings;
import loadbalancer.http.HttpProtocol;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.EventLoopLagMonitor;
import loadbalancer.testing.ProxyFixture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which values of request headers are accepted, and how they are limited. */
class RequestParserTest {

  private final MonotonicClock clock = new MonotonicClock();
  private final Settings settings;
  private final RequestParser parser;

  RequestParserTest() throws IOException {
    String endpoints = ProxyFixture.endpointListJson(1, true);
    settings = ProxyFixture.config(DownstreamFixture.UNREACHABLE_ADDRESS, endpoints).settings();
    EventLoopLagMonitor lagMonitor =
        new EventLoopLagMonitor(new EmbeddedChannel().eventLoop(), clock);
    parser = new RequestParser(settings, clock, lagMonitor);
  }

  private RoutingResult parse(String headerName, String value) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, HttpProtocol.API_PATH);
    request.headers().set(HttpProtocol.TRACE_ID_HEADER, "t");
    request.headers().set(HttpProtocol.CLASS_HEADER, "safe");
    request.headers().set(headerName, value);
    return parser.parse(request, parser.earliestArrivalNanos(), null);
  }

  private DownstreamRequest parseAccepted(String headerName, String value) {
    return assertInstanceOf(DownstreamRequest.class, parse(headerName, value));
  }

  @ParameterizedTest
  @CsvSource({"0, 0", "480, 480", "999999999, 40000"})
  void takesTheDeadlineFromTheTimeoutOrTheClass(String timeout, long expectedMillis) {
    long beforeNanos = clock.nowNanos();
    DownstreamRequest request = parseAccepted(HttpProtocol.TIMEOUT_HEADER, timeout);
    long afterNanos = clock.nowNanos();
    assertEquals(40_000_000_000L, request.requestClass().deadlineNanos());
    long networkAllowanceMillis = 20;
    long arrivedAtNanos =
        request.deadlineNanos()
            + request.unreadNanos()
            - TimeUnit.MILLISECONDS.toNanos(expectedMillis - networkAllowanceMillis);
    assertTrue(beforeNanos <= arrivedAtNanos && arrivedAtNanos <= afterNanos);
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "-5", "+5", "1e3", "1234567890", "12.5", "\u0663"})
  void rejectsATimeoutThatIsNotANumberOfMilliseconds(String timeout) {
    LocalReply reply =
        assertInstanceOf(LocalReply.class, parse(HttpProtocol.TIMEOUT_HEADER, timeout));
    assertEquals(HttpResponseStatus.BAD_REQUEST, reply.status());
  }

  @Test
  void ignoresAnInvalidWorkHint() {
    assertEquals(1_500_000, parseAccepted(HttpProtocol.WORK_HINT_HEADER, "1500").workHintNanos());
    assertEquals(0, parseAccepted(HttpProtocol.WORK_HINT_HEADER, "1500 us").workHintNanos());
  }

  @ParameterizedTest
  @ValueSource(strings = {HttpProtocol.TRACE_ID_HEADER, HttpProtocol.TENANT_HEADER})
  void rejectsOverlongTraceIdsAndTenants(String headerName) {
    assertInstanceOf(DownstreamRequest.class, parse(headerName, "n".repeat(128)));
    LocalReply reply = assertInstanceOf(LocalReply.class, parse(headerName, "n".repeat(129)));
    assertEquals(HttpResponseStatus.BAD_REQUEST, reply.status());
  }

  @Test
  void replacesAnOverlongAffinityKeyByItsHash() {
    String cookie = HttpProtocol.AFFINITY_COOKIE + "=";
    String longest = "k".repeat(128);
    String overlong = "k".repeat(129);
    assertEquals(longest, parseAccepted("Cookie", "a=b; " + cookie + longest).affinityKey());
    assertEquals(
        Integer.toHexString(overlong.hashCode()),
        parseAccepted("Cookie", cookie + overlong).affinityKey());
    assertNull(parseAccepted("Cookie", "a=b").affinityKey());
  }
}
