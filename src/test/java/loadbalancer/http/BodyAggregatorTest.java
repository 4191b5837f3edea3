package loadbalancer.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.AbstractByteBufAllocator;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpMessage;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.net.MemoryBudget;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class BodyAggregatorTest {

  private static final int READ_BUFFER_BYTES = 64 * 1024;
  private static final long UNLIMITED = Long.MAX_VALUE;

  private final List<ByteBuf> readBuffers = new ArrayList<>();

  private static EmbeddedChannel connection(MemoryBudget budget) {
    return connection(budget, BodyOverflow.FAIL_AT_ONCE);
  }

  private static EmbeddedChannel connection(MemoryBudget budget, BodyOverflow overflow) {
    return new EmbeddedChannel(
        new HttpRequestDecoder(),
        new BodyAggregator(budget, overflow) {
          @Override
          protected FullHttpMessage newMessageWithoutBody() {
            return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
          }
        });
  }

  /** Delivers a text in a read buffer that is much larger. */
  private void receive(EmbeddedChannel connection, String text) {
    ByteBuf buffer = Unpooled.buffer(READ_BUFFER_BYTES);
    buffer.writeCharSequence(text, StandardCharsets.ISO_8859_1);
    readBuffers.add(buffer);
    connection.writeInbound(buffer);
  }

  private void assertReadBuffersFree() {
    for (ByteBuf buffer : readBuffers) {
      assertEquals(0, buffer.refCnt());
    }
  }

  private static String head(String framing) {
    return "POST / HTTP/1.1\r\n" + framing + "\r\n\r\n";
  }

  /** Guards against bodies in pieces that keep the read buffers, and so many times their length. */
  @Test
  void holdsNoMoreMemoryThanABodyInPiecesNeeds() {
    MemoryBudget budget = new MemoryBudget(UNLIMITED);
    EmbeddedChannel connection = connection(budget);
    receive(connection, head("Content-Length: 60000"));
    StringBuilder body = new StringBuilder();
    for (int i = 0; i < 100; i++) {
      String piece = (char) ('0' + i % 10) + "x".repeat(599);
      receive(connection, piece);
      body.append(piece);
      assertReadBuffersFree();
      assertTrue(budget.usedBytes() <= body.length() + 8192, "reserved " + budget.usedBytes());
    }
    FullHttpRequest request = connection.readInbound();
    assertEquals(body.toString(), request.content().toString(StandardCharsets.ISO_8859_1));
    assertTrue(budget.usedBytes() >= body.length(), "reserved while the body is in use");
    request.release();
    assertEquals(0, budget.usedBytes());
  }

  @Test
  void reservesLittleForAShortBody() {
    MemoryBudget budget = new MemoryBudget(UNLIMITED);
    EmbeddedChannel connection = connection(budget);
    receive(connection, head("Content-Length: 212") + "x".repeat(212));
    FullHttpRequest request = connection.readInbound();
    assertEquals(256, budget.usedBytes());
    request.release();
    assertEquals(0, budget.usedBytes());
  }

  @Test
  void joinsTheChunksOfABody() {
    MemoryBudget budget = new MemoryBudget(UNLIMITED);
    EmbeddedChannel connection = connection(budget);
    receive(connection, head("Transfer-Encoding: chunked") + "3\r\nabc\r\n");
    receive(connection, "2000\r\n" + "d".repeat(0x2000) + "\r\n0\r\n\r\n");
    FullHttpRequest request = connection.readInbound();
    assertEquals(
        "abc" + "d".repeat(0x2000), request.content().toString(StandardCharsets.ISO_8859_1));
    request.release();
    assertEquals(0, budget.usedBytes());
  }

  @Test
  void failsAMessageForWhichNoMemoryIsLeft() {
    MemoryBudget budget = new MemoryBudget(32 * 1024);
    EmbeddedChannel connection = connection(budget);
    receive(connection, head("Content-Length: 60000"));
    for (int i = 0; i < 40; i++) {
      receive(connection, "x".repeat(1000));
    }
    FullHttpRequest request = connection.readInbound();
    assertInstanceOf(MessageMemoryException.class, request.decoderResult().cause());
    assertFalse(request.content().isReadable());
    request.release();
    assertEquals(0, budget.usedBytes());
    assertReadBuffersFree();
    assertThrows(PrematureChannelClosureException.class, connection::finishAndReleaseAll);
  }

  /** Guards against messages behind one without memory that are read and never passed on. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"Content-Length: 60000||", "Transfer-Encoding: chunked|ea60~|~0~~"})
  void readsAMessageWithoutMemoryToItsEnd(String framing, String before, String after) {
    MemoryBudget budget = new MemoryBudget(32 * 1024);
    EmbeddedChannel connection = connection(budget, BodyOverflow.READ_TO_END);
    receive(connection, head(framing) + lines(before));
    for (int i = 0; i < 60; i++) {
      receive(connection, "x".repeat(1000));
      assertEquals(after != null || i < 59, connection.inboundMessages().isEmpty());
    }
    receive(connection, lines(after) + head("Content-Length: 3") + "abc");
    FullHttpRequest failed = connection.readInbound();
    MessageMemoryException cause =
        assertInstanceOf(MessageMemoryException.class, failed.decoderResult().cause());
    assertTrue(cause.isMessageComplete());
    assertFalse(failed.content().isReadable());
    failed.release();
    FullHttpRequest next = connection.readInbound();
    assertTrue(next.decoderResult().isSuccess());
    assertEquals("abc", next.content().toString(StandardCharsets.ISO_8859_1));
    next.release();
    assertEquals(0, budget.usedBytes());
    assertReadBuffersFree();
  }

  /** A body without a length that finds no memory must not be read for ever. */
  @Test
  void failsAMessageWithoutMemoryThatExceedsTheLimit() {
    EmbeddedChannel connection = connection(new MemoryBudget(32 * 1024), BodyOverflow.READ_TO_END);
    receive(connection, head("Transfer-Encoding: chunked"));
    for (int i = 0; i < 9; i++) {
      receive(connection, "2000\r\n" + "x".repeat(0x2000) + "\r\n");
    }
    FullHttpRequest failed = connection.readInbound();
    assertInstanceOf(TooLongHttpContentException.class, failed.decoderResult().cause());
    connection.releaseInbound();
  }

  private static String lines(String text) {
    return text == null ? "" : text.replace("~", "\r\n");
  }

  /** Guards against long bodies that use up the memory, so that short ones are refused. */
  @Test
  void keepsMemoryForShortBodiesBesideLongOnes() {
    MemoryBudget budget = new MemoryBudget(32 * 1024);
    EmbeddedChannel longBody = connection(budget);
    receive(longBody, head("Content-Length: 60000") + "x".repeat(24_000));
    for (int i = 0; i < 4; i++) {
      EmbeddedChannel refused = connection(budget);
      receive(refused, head("Content-Length: 60000") + "x".repeat(8000));
      FullHttpRequest request = refused.readInbound();
      assertFalse(request.decoderResult().isSuccess());
    }
    EmbeddedChannel shortBody = connection(budget);
    receive(shortBody, head("Content-Length: 212") + "x".repeat(212));
    FullHttpRequest request = shortBody.readInbound();
    assertTrue(request.decoderResult().isSuccess());
    assertEquals(212, request.content().readableBytes());
    request.release();
  }

  /** An allocator that fails from the second direct buffer on, as if direct memory was used up. */
  private static final class ExhaustedAllocator extends AbstractByteBufAllocator {

    private int allocations;

    @Override
    protected ByteBuf newDirectBuffer(int initialCapacity, int maxCapacity) {
      if (allocations++ > 0) {
        throw new OutOfMemoryError("direct memory");
      }
      return Unpooled.directBuffer(initialCapacity, maxCapacity);
    }

    @Override
    protected ByteBuf newHeapBuffer(int initialCapacity, int maxCapacity) {
      return Unpooled.buffer(initialCapacity, maxCapacity);
    }

    @Override
    public boolean isDirectBufferPooled() {
      return false;
    }
  }

  /** Guards against a body that is passed on as complete without the piece that found no memory. */
  @Test
  void failsAMessageWhoseBodyCannotBeAllocated() {
    MemoryBudget budget = new MemoryBudget(UNLIMITED);
    EmbeddedChannel connection = connection(budget);
    connection.config().setAllocator(new ExhaustedAllocator());
    receive(connection, head("Content-Length: 20000") + "x".repeat(20_000));
    FullHttpRequest request = connection.readInbound();
    assertFalse(request.decoderResult().isSuccess());
    assertFalse(request.content().isReadable());
    assertEquals(0, budget.usedBytes());
    assertReadBuffersFree();
    connection.releaseInbound();
  }

  @Test
  void releasesThePartOfABodyWhoseConnectionCloses() {
    MemoryBudget budget = new MemoryBudget(UNLIMITED);
    EmbeddedChannel connection = connection(budget);
    receive(connection, head("Content-Length: 60000") + "x".repeat(1000));
    assertTrue(budget.usedBytes() > 0);
    assertThrows(PrematureChannelClosureException.class, connection::finishAndReleaseAll);
    assertEquals(0, budget.usedBytes());
  }
}
