package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.http.MessageMemory;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;

/**
 * Checks for any sequence of responses on a connection that each call gets its own response or
 * none: a connection carries a further call only if nothing has followed the complete response.
 */
class ResponseSequenceTest {

  private static final long ENDPOINT_ID = 1;
  private static final long UPSTREAM_IDLE_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** Longer than the quiet period in which a connection is not reused after a response. */
  private static final long QUIET_PERIOD_MILLIS = 11;

  private static final String SECOND_BODY = "second";
  private static final String SECOND_RESPONSE = withLength("200 OK", SECOND_BODY);

  /** The bytes that arrive during the first call, and where they are split into several reads. */
  private record Input(String response, String surplus, List<Integer> splits) {

    List<String> reads() {
      String bytes = response + surplus;
      List<String> reads = new ArrayList<>();
      int from = 0;
      for (int split :
          splits.stream().map(at -> at % bytes.length()).sorted().distinct().toList()) {
        reads.add(bytes.substring(from, split));
        from = split;
      }
      reads.add(bytes.substring(from));
      reads.removeIf(String::isEmpty);
      return reads;
    }
  }

  /** The outcome of a call. */
  private record Outcome(AttemptStatus status, String body) {}

  /** A connection whose bytes are written by the test. */
  private static final class TestConnection {

    final IdleConnections idle = new IdleConnections(UPSTREAM_IDLE_NANOS);
    final EmbeddedChannel channel = new EmbeddedChannel();
    final UpstreamConnection connection =
        new UpstreamConnection(channel, idle, endpointId -> true, MessageMemory.unlimited());

    TestConnection() {
      connection.addHandlers();
    }

    /** Sends a call, whose outcome is added to the list. */
    List<Outcome> send(UpstreamConnection target) {
      List<Outcome> outcomes = new ArrayList<>();
      UpstreamCall call =
          new UpstreamCall(
              ENDPOINT_ID,
              () -> true,
              (status, response) ->
                  outcomes.add(
                      new Outcome(
                          status,
                          response == null
                              ? null
                              : response.content().toString(StandardCharsets.ISO_8859_1))));
      target.send(
          call,
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, "/", Unpooled.EMPTY_BUFFER));
      return outcomes;
    }

    /** Delivers bytes to the connection unless it has been closed. */
    void receive(String bytes) {
      if (channel.isActive()) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
      }
    }
  }

  private static String withLength(String status, String body) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String chunked(String status, String body) {
    String chunks =
        body.isEmpty() ? "" : Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
    return "HTTP/1.1 " + status + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n";
  }

  private static Arbitrary<String> finalResponses() {
    Arbitrary<String> statuses =
        Arbitraries.of("200 OK", "500 Error", "503 Full\r\nX-Never-Ran: 1", "503 Full");
    Arbitrary<String> bodies = Arbitraries.of("", "x", "first", "HTTP/1.1 200 OK");
    return Combinators.combine(statuses, bodies, Arbitraries.of(true, false))
        .as(
            (status, body, isChunked) ->
                isChunked ? chunked(status, body) : withLength(status, body));
  }

  private static Arbitrary<String> responses() {
    Arbitrary<String> informational =
        Arbitraries.of("", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n");
    return Combinators.combine(informational, finalResponses()).as(String::concat);
  }

  /** Returns nothing, a response that is complete or cut at any byte, or garbage. */
  private static Arbitrary<String> surplus() {
    Arbitrary<String> cut =
        Combinators.combine(responses(), Arbitraries.integers().between(1, 200))
            .as((response, length) -> response.substring(0, Math.min(length, response.length())));
    Arbitrary<String> garbage =
        Arbitraries.strings().withChars("HTP/1. 20\r\n{\u0000").ofMinLength(1).ofMaxLength(20);
    return Arbitraries.frequencyOf(
        Tuple.of(1, Arbitraries.just("")), Tuple.of(4, cut), Tuple.of(1, garbage));
  }

  @Provide
  Arbitrary<Input> inputs() {
    Arbitrary<List<Integer>> splits = Arbitraries.integers().between(1, 400).list().ofMaxSize(4);
    return Combinators.combine(responses(), surplus(), splits).as(Input::new);
  }

  @Property(tries = 1000, seed = "38")
  void eachCallGetsItsOwnResponseOrNone(@ForAll("inputs") Input input) throws InterruptedException {
    TestConnection test = new TestConnection();
    List<Outcome> first = test.send(test.connection);
    input.reads().forEach(test::receive);
    assertEquals(1, first.size(), "the response is complete");
    if (!input.surplus().isEmpty()) {
      assertFalse(test.channel.isActive(), "closed because of the surplus");
      assertEquals(1, test.idle.takeSurplusResponses());
    }
    Thread.sleep(input.surplus().isEmpty() ? QUIET_PERIOD_MILLIS : 0);
    UpstreamConnection reused = test.idle.acquire(ENDPOINT_ID, test.channel.remoteAddress());
    if (!input.surplus().isEmpty()) {
      assertNull(reused, "reused in spite of the surplus");
    } else {
      List<Outcome> second = test.send(reused);
      test.receive(SECOND_RESPONSE);
      assertEquals(List.of(new Outcome(AttemptStatus.SUCCESS, SECOND_BODY)), second);
    }
    test.channel.finishAndReleaseAll();
  }
}
