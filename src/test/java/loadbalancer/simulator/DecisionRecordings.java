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
 * The recordings of the engine's decisions, kept under src/test/resources/decisions: a file for
 * each short scenario (a line with a batch of events, then a line with the reply, and so on) and
 * digests.txt with a line for each long one: name, seed, number of events and the SHA-256 of the
 * replies. {@link DecisionRecorder} writes them, {@link DecisionRecordingTest} compares.
 */
final class DecisionRecordings {

  static final Path DIRECTORY = Path.of("src/test/resources/decisions");
  static final Path DIGESTS = DIRECTORY.resolve("digests.txt");

  private DecisionRecordings() {}

  static Path file(String scenario) {
    return DIRECTORY.resolve(scenario + ".jsonl");
  }

  /** Plays a scenario and returns batches and replies in turn. */
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

  /** Plays a scenario and returns its line of digests.txt. */
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
