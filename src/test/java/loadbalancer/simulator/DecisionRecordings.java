package loadbalancer.simulator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * The recordings of the engine's decisions under src/test/resources/decisions. Each short scenario
 * has a file in which a line with a batch of events and a line with the reply alternate. Each long
 * scenario has a line in digests.txt with its name, its seed, the number of events and the SHA-256
 * of the replies. {@link DecisionRecorder} writes the recordings, {@link DecisionRecordingTest}
 * compares against them.
 */
final class DecisionRecordings {

  static final Path DIRECTORY = Path.of("src/test/resources/decisions");
  static final Path DIGESTS = DIRECTORY.resolve("digests.txt");

  private DecisionRecordings() {}

  static Path file(String scenario) {
    return DIRECTORY.resolve(scenario + ".jsonl");
  }

  /** Plays a scenario and returns its batches and replies alternately. */
  static List<String> conversation(DecisionScenario scenario) throws IOException {
    ScenarioPlayer player = new ScenarioPlayer(scenario);
    List<String> lines = new ArrayList<>();
    EngineConversation.run(
        reply -> {
          if (reply != null) {
            lines.add(reply);
          }
          String batch = player.apply(reply);
          if (batch != null) {
            lines.add(batch);
          }
          return batch;
        });
    return lines;
  }

  /** Plays a scenario and returns its line for digests.txt. */
  static String digest(DecisionScenario scenario) throws IOException {
    ScenarioPlayer player = new ScenarioPlayer(scenario);
    MessageDigest sha256 = sha256();
    EngineConversation.run(
        reply -> {
          if (reply != null) {
            sha256.update((reply + "\n").getBytes(StandardCharsets.UTF_8));
          }
          return player.apply(reply);
        });
    return String.join(
        " ",
        scenario.name(),
        String.valueOf(scenario.seed()),
        String.valueOf(player.eventCount()),
        HexFormat.of().formatHex(sha256.digest()));
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
