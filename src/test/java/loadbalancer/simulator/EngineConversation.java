package loadbalancer.simulator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;

/**
 * Exchanges JSON lines with the decision engine in the simulator's protocol: each batch of events
 * gets a reply with actions. Of the classes for the recordings, this is the only one that refers to
 * the main code.
 */
final class EngineConversation {

  private EngineConversation() {}

  /**
   * Runs a conversation. The peer receives the engine's last reply, null at first, and returns the
   * next batch of events, or null to end the conversation.
   */
  static void run(UnaryOperator<String> peer) throws IOException {
    ByteArrayOutputStream replies = new ByteArrayOutputStream();
    new SimulatorAdapter(new BatchInput(peer, replies), replies).run();
  }

  /**
   * An input stream that asks the peer for the next batch once the adapter has read the previous
   * one.
   */
  private static final class BatchInput extends InputStream {

    private final UnaryOperator<String> peer;
    private final ByteArrayOutputStream replies;
    private byte[] lineBytes = {};
    private int position;
    private boolean hasStarted;

    BatchInput(UnaryOperator<String> peer, ByteArrayOutputStream replies) {
      this.peer = peer;
      this.replies = replies;
    }

    @Override
    public int read() {
      return fillIfEmpty() ? lineBytes[position++] & 0xff : -1;
    }

    @Override
    public int read(byte[] target, int offset, int length) {
      if (!fillIfEmpty()) {
        return -1;
      }
      int count = Math.min(length, lineBytes.length - position);
      System.arraycopy(lineBytes, position, target, offset, count);
      position += count;
      return count;
    }

    /** Returns whether a byte is available, after asking for the next batch if necessary. */
    private boolean fillIfEmpty() {
      if (position < lineBytes.length) {
        return true;
      }
      String batch = peer.apply(hasStarted ? lastReply() : null);
      hasStarted = true;
      lineBytes = batch == null ? new byte[0] : (batch + "\n").getBytes(StandardCharsets.UTF_8);
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
