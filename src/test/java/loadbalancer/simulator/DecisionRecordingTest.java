package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Iterator;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that the engine answers recorded events with exactly the recorded actions. A failure means
 * that decisions have changed, which a refactoring must not cause. {@link DecisionRecorder}
 * describes how to record again after an intended change; this test never writes.
 *
 * <p>The digests cover far more events than the recorded conversations, but only show that
 * something changed; the conversations show what. Both depend on floating-point functions (exp,
 * pow) whose last digit the language leaves to the platform: if all recordings fail on a new
 * processor architecture, these are the likely cause.
 */
class DecisionRecordingTest {

  private static final int MAX_FILE_BYTES = 60 * 1024;
  private static final int MAX_TOTAL_BYTES = 450 * 1024;

  private static RecordingCoverage coverage;

  static Stream<String> shortScenarioNames() {
    return DecisionScenarios.shortScenarios().stream().map(DecisionScenario::name);
  }

  static Stream<DecisionScenario> longScenarios() {
    return DecisionScenarios.longScenarios().stream();
  }

  @BeforeAll
  static void countRecordings() throws IOException {
    coverage = new RecordingCoverage();
    for (String name : shortScenarioNames().toList()) {
      coverage.addRecording(recordedLines(name));
    }
  }

  private static List<String> recordedLines(String name) throws IOException {
    return Files.readAllLines(DecisionRecordings.file(name));
  }

  @ParameterizedTest
  @MethodSource("shortScenarioNames")
  void recordedEventsYieldTheRecordedActions(String name) throws IOException {
    Iterator<String> lines = recordedLines(name).iterator();
    int[] lineNumber = {0};
    EngineConversation.run(
        reply -> {
          if (reply != null) {
            lineNumber[0]++;
            assertEquals(
                lines.next(),
                reply,
                () ->
                    DecisionRecordings.file(name)
                        + " line "
                        + lineNumber[0]
                        + ": decisions changed");
          }
          lineNumber[0]++;
          return lines.hasNext() ? lines.next() : null;
        });
    assertEquals(recordedLines(name).size(), lineNumber[0] - 1);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("longScenarios")
  void longScenariosYieldTheRecordedDigests(DecisionScenario scenario) throws IOException {
    String expected =
        Files.readAllLines(DecisionRecordings.DIGESTS).stream()
            .filter(l -> l.startsWith(scenario.name() + " "))
            .findFirst()
            .orElse(null);
    assertEquals(
        expected,
        DecisionRecordings.digest(scenario),
        () -> DecisionRecordings.DIGESTS + " " + scenario.name() + ": decisions changed");
  }

  @Test
  void everyDigestBelongsToALongScenario() throws IOException {
    List<String> names =
        Files.readAllLines(DecisionRecordings.DIGESTS).stream()
            .map(l -> l.substring(0, l.indexOf(' ')))
            .toList();
    assertEquals(longScenarios().map(DecisionScenario::name).toList(), names);
  }

  @Test
  void recordingsAreSmallEnoughToReview() throws IOException {
    long totalBytes = 0;
    for (String name : shortScenarioNames().toList()) {
      long size = Files.size(DecisionRecordings.file(name));
      int batches = recordedLines(name).size() / 2;
      assertTrue(size <= MAX_FILE_BYTES, () -> name + " has " + size + " bytes");
      assertTrue(batches >= 100 && batches <= 200, () -> name + " has " + batches + " batches");
      totalBytes += size;
    }
    assertTrue(totalBytes <= MAX_TOTAL_BYTES, "bytes in all: " + totalBytes);
  }

  /**
   * Checks that each category of settings, events and decisions that {@link RecordingCoverage}
   * counts occurs in the recordings at least the given number of times.
   */
  @ParameterizedTest
  @CsvSource({
    "setting list pushed, 4",
    "setting list on_request, 2",
    "setting weights none, 1",
    "setting weights nominal, 1",
    "setting weights rough, 1",
    "setting weights live, 1",
    "setting key affinity true, 2",
    "setting key affinity false, 2",
    "setting group of 1, 2",
    "setting group of 4, 2",
    "setting group of 100, 1",
    "setting tenants with quotas, 2",
    "setting tenants without quotas, 1",
    "setting tenants none, 3",
    "setting hedges true, 5",
    "setting hedges false, 1",
    "setting retry-after true, 5",
    "setting retry-after false, 1",
    "setting effect idempotent, 5",
    "setting effect at_most_once, 3",
    "setting effect deduplicated all, 3",
    "setting effect deduplicated zone, 2",
    "setting effect deduplicated cell, 1",
    "event request, 600",
    "event request with key, 300",
    "event request without key, 100",
    "event request with heavy hint, 5",
    "event client retry, 10",
    "event client disconnected, 15",
    "event stream started, 10",
    "event timer sweep, 300",
    "event timer ask, 3",
    "event list C, 8",
    "event list D, 12",
    "event list F, 2",
    "event list X, 4",
    "event endpoint draining, 3",
    "event endpoint removed, 4",
    "event endpoint restarted, 5",
    "outcome served, 400",
    "outcome server_error, 50",
    "outcome turned_away, 15",
    "outcome no_answer, 8",
    "outcome no_connection, 3",
    "outcome connection_lost, 8",
    "outcome called_off, 5",
    "decision retry, 50",
    "decision hedge, 5",
    "decision queued then sent, 10",
    "decision queued then rejected, 5",
    "decision rejected at once, 30",
    "decision rejected with retry-after, 30",
    "decision rejected without retry-after, 5",
    "decision dropped at_most_once, 10",
    "decision dropped deduplicated, 3",
    "decision attempt cancelled, 10",
    "decision list watched, 2",
    "decision list watched again, 4",
    "decision ejection, 6",
    "decision end of ejection, 4",
    "decision panic, 5",
    "decision sent to warming endpoint, 30",
    "decision retry budget exhausted, 5",
    "decision repeated in all, 5",
    "decision repeated in zone, 3",
    "decision repeated in cell, 1",
    "decision at_most_once sent again, 3"
  })
  void everyCategoryIsRecorded(String category, int minimum) {
    int count = coverage.count(category);
    assertTrue(
        count >= minimum,
        () -> category + ": " + count + " times, expected at least " + minimum + " in " + coverage);
  }

  @Test
  void recordingsContainNoRuleViolation() {
    assertEquals(0, coverage.count("fault"));
    assertEquals(0, coverage.count("sent to unavailable endpoint"));
    assertEquals(0, coverage.count("at_most_once repeated"));
    assertNull(coverage.firstOverdueRequest(), coverage::firstOverdueRequest);
  }
}
