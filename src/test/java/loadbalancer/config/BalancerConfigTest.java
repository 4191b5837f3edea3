package loadbalancer.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.Settings;
import loadbalancer.discovery.EndpointList;
import loadbalancer.json.MalformedInputException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks the defaults of a configuration and the one-line descriptions of unusable ones. */
class BalancerConfigTest {

  private static final String MINIMAL =
      "{\"name\":\"n\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"[::1]:8500\",\"seed\":\"ff\","
          + "\"settings\":{\"categories\":[{\"name\":\"c\",\"aim-ns\":400}]}}";

  private static ConfigurationException parseFailure(String text) {
    return assertThrows(ConfigurationException.class, () -> BalancerConfig.parse(text, Map.of()));
  }

  @Test
  void absentFieldsHaveDefaults() {
    BalancerConfig config = BalancerConfig.parse(MINIMAL, Map.of());
    assertEquals(8500, config.discoveryAddress().getPort());
    assertEquals(0xff, config.seed());
    assertEquals(1024, config.maxDescriptors());
    assertEquals(192L << 20, config.memoryBytes());
    assertNull(config.gossipListenAddress());
    assertNull(config.broadcastAddress());
    assertEquals(List.of(), config.instanceAddresses());
    assertEquals(EndpointList.EMPTY, config.initialEndpoints());
    assertEquals(5_000_000_000L, config.idleTimeoutNanos());
    assertFalse(config.hasLoadReports());
  }

  @Test
  void absentSettingsHaveDefaults() {
    Settings settings = BalancerConfig.parse(MINIMAL, Map.of()).settings();
    assertEquals(
        List.of(
            new RequestClass(
                "c", Idempotence.NON_IDEMPOTENT, DedupScope.CELL, 0, 400, 0, 400, 1, 0, false)),
        settings.classes());
    assertEquals(1, settings.instanceCount());
    assertEquals(1, settings.limits().maxAttempts());
    assertEquals(Integer.MAX_VALUE, settings.limits().maxInFlightRequests());
    assertEquals(250_000_000L, settings.limits().connectTimeoutNanos());
    assertEquals(0, settings.contract().maxPollIntervalNanos());
    assertEquals(0.1, settings.contract().initialCapacity());
    assertEquals(30_000_000_000L, settings.contract().slowStartNanos());
    assertEquals(1_000_000L, settings.tickNanos());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"seed\":\"ff\" | \"seed\":\"xyz\" | field config.seed: expected up to 16 hex digits, got"
            + " \"xyz\"",
        "\"settings\" | \"other\" | field config.settings: expected an object, got nothing",
        "\"name\":\"n\", | '' | field config.name: expected a text, got nothing",
        "127.0.0.1:0 | somewhere:8000 | field listen: expected an address and a port, got"
            + " \"somewhere:8000\"",
        "400 | -4 | settings: aim of class c must be above 0",
        "400 | \"x\" | field config.settings.categories[0].aim-ns: expected a whole number, got"
            + " \"x\""
      })
  void problemsAreDescribedWithThePathOfTheField(
      String original, String replacement, String problem) {
    ConfigurationException exception =
        parseFailure(MINIMAL.replace(original, replacement == null ? "" : replacement));
    assertEquals("configuration: " + problem, BalancerConfig.describeProblem(exception));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {"''", "{", "{}", "[1]", "{\"seed\":\"x\",\"name\":\"n\"}"})
  void unusableTextIsDescribedInOneLine(String text) {
    String description = BalancerConfig.describeProblem(parseFailure(text));
    assertEquals(1, description.lines().count());
    assertEquals("configuration: ", description.substring(0, 15));
  }

  @Test
  void causeNamesTheField() {
    Throwable cause = parseFailure(MINIMAL.replace("\"ff\"", "7")).getCause();
    assertEquals("config.seed", assertInstanceOf(MalformedInputException.class, cause).path());
  }

  @Test
  void unnamedOrMissingFileIsDescribed(@TempDir Path folder) {
    ConfigurationException unnamed =
        assertThrows(ConfigurationException.class, () -> BalancerConfig.read(Map.of()));
    assertEquals(
        "configuration: ROUTER_CONFIG is not set", BalancerConfig.describeProblem(unnamed));
    String absent = folder.resolve("absent").toString();
    IOException missing =
        assertThrows(IOException.class, () -> BalancerConfig.read(Map.of("ROUTER_CONFIG", absent)));
    assertEquals(
        "java.nio.file.NoSuchFileException: " + absent, BalancerConfig.describeProblem(missing));
  }
}
