package cloverpulley.drill;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;

/**
 * Talks to the decision engine in the simulator's JSON wire, a line of events for a line of
 * actions. This is the only place of the recordings that names a class of the product.
 */
final class EngineConversation {

  private EngineConversation() {}

  /**
   * Runs a conversation. The peer gets the engine's last reply, null at first, and returns the next
   * batch of events, null to end.
   */
  static void run(UnaryOperator<String> peer) throws IOException {
    ByteArrayOutputStream replies = new ByteArrayOutputStream();
    new Link(new BatchInput(peer, replies), replies).run();
  }

  /** Asks the peer for a batch whenever the adapter has read all there was. */
  private static final class BatchInput extends InputStream {

    private final UnaryOperator<String> peer;
    private final ByteArrayOutputStream replies;
    private byte[] line = {};
    private int position;
    private boolean started;

    BatchInput(UnaryOperator<String> peer, ByteArrayOutputStream replies) {
      this.peer = peer;
      this.replies = replies;
    }

    @Override
    public int read() {
      return fill() ? line[position++] & 0xff : -1;
    }

    @Override
    public int read(byte[] target, int offset, int length) {
      if (!fill()) {
        return -1;
      }
      int count = Math.min(length, line.length - position);
      System.arraycopy(line, position, target, offset, count);
      position += count;
      return count;
    }

    private boolean fill() {
      if (position < line.length) {
        return true;
      }
      String batch = peer.apply(started ? lastReply() : null);
      started = true;
      line = batch == null ? new byte[0] : (batch + "\n").getBytes(StandardCharsets.UTF_8);
      position = 0;
      return batch != null;
    }

    private String lastReply() {
      String reply = replies.toString(StandardCharsets.UTF_8);
      replies.reset();
      return reply.endsWith("\n") ? reply.substring(0, reply.length() - 1) : reply;
    }
  }
}
