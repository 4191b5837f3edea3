package loadbalancer.simulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.CheckHealth;
import loadbalancer.decision.api.Action.CloseIdleConnections;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.FetchEndpoints;
import loadbalancer.decision.api.Action.LogMessage;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.SendGossip;
import loadbalancer.decision.api.Action.SetTimer;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.json.MalformedInputException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks the simulator's protocol: conversations byte for byte, every action, and each kind of
 * malformed input.
 */
class SimulatorAdapterTest {

  private static final String CLASS =
      "{\"name\":\"c\",\"aim-ns\":400000000,\"deadline-ns\":2000000000,"
          + "\"effect\":\"idempotent\",\"unknown\":[1,{}]}";
  private static final String PROVISION =
      "{\"clock-ns\":1000000000,\"groups\":[{\"balancer\":3,\"msgs\":["
          + "{\"Provision\":{\"seed\":1,\"boot-info\":{\"novel\":1.5,\"categories\":["
          + CLASS
          + "],\"registry-mode\":\"on_request\"}}},"
          + "{\"Topology\":{\"kind\":\"C\",\"stamp\":1,\"entries\":[{\"hw\":\"x\","
          + "\"launched-ns\":null,\"pack\":0,"
          + "\"upstream\":7,\"region-part\":\"\",\"stage-state\":\"up\","
          + "\"capacity-hint\":1}]}}]}]}";

  private static String exchange(String... lines) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String text = String.join("\n", lines) + "\n";
    new SimulatorAdapter(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), out)
        .run();
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String batch(long clock, String messages) {
    return "{\"clock-ns\":" + clock + ",\"groups\":[{\"balancer\":3,\"msgs\":[" + messages + "]}]}";
  }

  private static String reply(String actions) {
    return "{\"groups\":[{\"balancer\":3,\"actions\":[" + actions + "]}]}\n";
  }

  private static final String REQUEST_ARRIVED =
      "{\"JobIn\":{\"rid\":\"c:a\",\"service\":\"c\",\"user-group\":0,"
          + "\"object\":\"91f03b7c55d20a64\",\"drop-dead-ns\":2500000000,"
          + "\"weight-hint-ns\":null,\"retry\":false,"
          + "\"write\":false}}";

  @Test
  void repliesToAnEmptyBatchWithNoGroups() throws IOException {
    assertEquals("{\"groups\":[]}\n", exchange("{\"clock-ns\":1,\"groups\":[]}"));
  }

  @Test
  void repliesToEveryEventOfAnInstance() throws IOException {
    String expected =
        reply("{\"Observe\":{\"enable\":true}}")
            + reply(
                "{\"Deliver\":{\"rid\":\"c:a\",\"patience-ns\":1400000000,\"upstream\":7}},"
                    + "{\"SetTimer\":{\"handle\":\"sweep\",\"fire-at-ns\":1150000000}}")
            + reply("{\"SetTimer\":{\"handle\":\"sweep\",\"fire-at-ns\":1200000000}}")
            + reply("")
            + reply("")
            + reply("")
            + reply("")
            + reply("");
    assertEquals(
        expected,
        exchange(
            PROVISION,
            batch(1_100_000_000L, REQUEST_ARRIVED),
            batch(1_150_000_000L, "{\"Fired\":{\"handle\":\"sweep\"}}"),
            batch(
                1_152_000_000L,
                "{\"First\":{\"rid\":\"c:a\",\"go\":0,\"upstream\":7,\"wait-time-ns\":5}}"),
            batch(
                1_155_000_000L,
                "{\"Resolved\":{\"rid\":\"c:a\",\"go\":0,\"upstream\":7,\"rc\":\"served\","
                    + "\"wait-time-ns\":15000000,\"done-flag\":true,"
                    + "\"usage\":{\"util\":0.5,\"odd\":\"x\"}}}"),
            batch(1_156_000_000L, "{\"Aborted\":{\"rid\":\"c:a\"}}"),
            batch(
                1_157_000_000L,
                "{\"HealthResult\":{\"rc\":\"served\",\"upstream\":7,\"wait-time-ns\":5,"
                    + "\"usage\":null}},"
                    + "{\"Datagram\":{\"neighbour\":0,\"octets\":\"aGkgNw==\"}}"),
            batch(1_158_000_000L, "{\"Kill\":{}}")));
  }

  @Test
  void encodesEveryAction() throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator generator = new JsonFactory().createGenerator(text)) {
      generator.writeStartArray();
      ActionEncoder.write(generator, new StartAttempt("a", 7, 5));
      ActionEncoder.write(generator, new CancelAttempt("a", 1));
      ActionEncoder.write(generator, new RejectRequest("a", 9));
      ActionEncoder.write(generator, new FailRequest("a"));
      ActionEncoder.write(generator, new SetTimer("t", 3));
      ActionEncoder.write(generator, new WatchEndpoints(false));
      ActionEncoder.write(generator, new FetchEndpoints());
      ActionEncoder.write(generator, new CheckHealth(7));
      ActionEncoder.write(generator, new CloseIdleConnections(7));
      ActionEncoder.write(generator, new SendGossip(-1, "hi 7".getBytes(StandardCharsets.UTF_8)));
      ActionEncoder.write(generator, new LogMessage("x"));
      generator.writeEndArray();
    }
    assertEquals(
        "[{\"Deliver\":{\"rid\":\"a\",\"patience-ns\":5,\"upstream\":7}},"
            + "{\"AbortAttempt\":{\"rid\":\"a\",\"go\":1}},"
            + "{\"Decline\":{\"rid\":\"a\",\"not-before-for-ns\":9}},"
            + "{\"DropRequest\":{\"rid\":\"a\"}},"
            + "{\"SetTimer\":{\"handle\":\"t\",\"fire-at-ns\":3}},"
            + "{\"Observe\":{\"enable\":false}},{\"Resolve\":{}},{\"SoundOut\":{\"upstream\":7}},"
            + "{\"Release\":{\"upstream\":7}},"
            + "{\"BroadcastTo\":{\"recipient\":-1,\"octets\":\"aGkgNw==\"}},"
            + "{\"Emit\":{\"note-text\":\"x\"}}]",
        text.toString());
  }

  @Test
  void reportsAnExceptionOfTheEngineAsAFault() throws IOException {
    String out =
        exchange(
            PROVISION,
            batch(
                1_100_000_000L,
                REQUEST_ARRIVED.replace("\"service\":\"c\"", "\"service\":\"nope\"")));
    assertTrue(
        out.contains(
            "{\"Fault\":{\"note-text\":\"java.lang.IllegalArgumentException: request of unknown"
                + " class nope at loadbalancer.decision.RequestClassifier.classify("),
        out);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "nonsense | line 2: not JSON",
        "{\"clock-ns\":1} | line 2: field batch.groups: expected an array, got nothing",
        "{\"clock-ns\":\"x\",\"groups\":[]} | line 2: field batch.clock-ns: expected a whole"
            + " number, got \"x\"",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":9,\"msgs\":[{\"Kill\":{}}]}]} | balancer 9 was"
            + " never provisioned",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"Odd\":{}}]}]} | msgs[0].Odd:"
            + " unknown event",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"Fired\":{}}]}]} | Fired.handle:"
            + " expected a text",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":["
            + "{\"HealthResult\":{\"rc\":\"fine\"}}]}]} | expected a whole",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":["
            + "{\"HealthResult\":{\"upstream\":1,\"rc\":\"fine\"}}]}]} | rc: expected one of",
        "{\"clock-ns\":1,\"groups\":[]} {} | expected one value a line"
      })
  void rejectsMalformedInputWithItsLineAndField(String line, String message) {
    MalformedInputException exception =
        assertThrows(MalformedInputException.class, () -> exchange(PROVISION, line));
    assertTrue(exception.getMessage().startsWith("line 2: "), exception.getMessage());
    assertTrue(exception.getMessage().contains(message), exception.getMessage());
  }

  @Test
  void rejectsInvalidSettingsByName() {
    MalformedInputException withoutClasses =
        assertThrows(MalformedInputException.class, () -> exchange(PROVISION.replace(CLASS, "")));
    assertEquals("line 1: settings: classes must not be empty", withoutClasses.getMessage());
    MalformedInputException negativeObjective =
        assertThrows(
            MalformedInputException.class,
            () -> exchange(PROVISION.replace("\"aim-ns\":400000000", "\"aim-ns\":-4")));
    assertEquals(
        "line 1: settings: aim of class c must be above 0", negativeObjective.getMessage());
  }
}
