package loadbalancer.simulator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;

/**
 * Talks to the decision engine by the simulator's JSON protocol, which answers each line of events
 * with a line of actions. This is the only class for the recordings that refers to a class of the
 * main code.
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
