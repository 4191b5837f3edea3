package loadbalancer.simulator;

import static loadbalancer.simulator.DecisionScenario.MILLISECOND_NANOS;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import loadbalancer.simulator.DecisionScenario.Incident;
import loadbalancer.simulator.DecisionScenario.IncidentKind;
import loadbalancer.simulator.DecisionScenario.Traffic;

/** The scenarios for which the engine's decisions are recorded. */
final class DecisionScenarios {

  private static final int SHORT_SCENARIO_BATCHES = 155;
  private static final int LONG_SCENARIO_EVENTS = 20_000;
  private static final int LONG_SCENARIO_SECONDS = 300;
  private static final int LONG_SCENARIO_ENDPOINTS = 10;
  private static final long TICK_NANOS = 30 * MILLISECOND_NANOS;

  private DecisionScenarios() {}

  /** Returns the short scenarios, whose recordings are kept in full. */
  static List<DecisionScenario> shortScenarios() {
    return List.of(
        ejection(),
        hedges(),
        polledList(),
        quotas(),
        slowStart(),
        coldFleet(),
        retryBudget(),
        deduplication());
  }

  private static DecisionScenario ejection() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .keyAffinity()
            .requestClass("read", "idempotent", 400, 2000, 3)
            .requestClass("order", "at_most_once", 600, 2000, 5);
    return scenario(
        "ejection",
        11,
        settings,
        new Traffic(20, 12, 0, 4, 1, 2, 40 * MILLISECOND_NANOS, 0.02, 0.02, TICK_NANOS),
        "0.7 FAILING 1",
        "2.0 HEALTHY 1",
        "2.4 RESETTING 2",
        "2.7 SLOW 0",
        "3.2 HEALTHY 2",
        "3.4 DRAIN 3",
        "3.5 REFUSING 0",
        "3.9 REMOVE 3",
        "4.0 FAILING -1",
        "4.3 HEALTHY -1");
  }

  private static DecisionScenario hedges() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .groupSize(4)
            .weightKind("nominal")
            .requestClass("read", "idempotent", 800, 2000, 3)
            .requestClass("update", "deduplicated zone 700", 800, 2000, 4)
            .streamingClass("feed", 800, 1500, 2);
    return scenario(
        "hedges",
        12,
        settings,
        new Traffic(20, 20, 0, 3, 2, 3, 30 * MILLISECOND_NANOS, 0.15, 0, TICK_NANOS),
        "0.8 HANGING 0",
        "1.5 HEALTHY 0",
        "2.0 HANGING 2",
        "2.6 HEALTHY 2",
        "3.0 HANGING 0",
        "3.5 HEALTHY 0",
        "3.9 HANGING 2");
  }

  private static DecisionScenario polledList() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .polledDiscovery()
            .weightKind("rough")
            .withoutHedges()
            .withoutRetryAfter()
            .tenant("t1", 0.6, 0)
            .tenant("t2", 0.4, 0)
            .requestClass("read", "idempotent", 400, 1500, 3)
            .requestClass("order", "at_most_once", 400, 1500, 5);
    return scenario(
        "polled-list",
        13,
        settings,
        new Traffic(17, 10, 0, 3, 2, 1, 60 * MILLISECOND_NANOS, 0.12, 0.1, TICK_NANOS),
        "0.6 HANGING 1",
        "0.9 LIST_FAILURE 0",
        "1.0 DRAIN 1",
        "1.4 REMOVE 1",
        "1.8 RESTART 3",
        "2.2 CROWD 0",
        "2.4 LIST_FAILURE 0",
        "2.5 REMOVE 0",
        "2.6 REMOVE 2",
        "2.7 REMOVE 3",
        "2.8 CALM 0",
        "3.6 RETURN 0",
        "3.7 RETURN 2",
        "3.9 FULL_LIST 0");
  }

  private static DecisionScenario quotas() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .groupSize(4)
            .weightKind("live")
            .keyAffinity()
            .tenant("t1", 0.4, 16)
            .tenant("t2", 0.35, 28)
            .tenant("t3", 0.25, 20)
            .requestClass("read", "idempotent", 400, 1200, 3)
            .requestClass("write", "deduplicated all 1000", 500, 1200, 4);
    return scenario(
        "quotas",
        14,
        settings,
        new Traffic(12, 9, 0, 3, 1, 1, 90 * MILLISECOND_NANOS, 0.02, 0, TICK_NANOS),
        "0.8 CROWD 0",
        "2.4 CALM 0");
  }

  private static DecisionScenario slowStart() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .polledDiscovery()
            .groupSize(100)
            .weightKind("nominal")
            .slowStart(0.14, 6000, 3)
            .requestClass("read", "idempotent", 400, 2000, 3)
            .requestClass("write", "deduplicated all 600", 400, 2000, 3);
    return scenario(
        "slow-start",
        15,
        settings,
        new Traffic(23, 0, 0, 4, 2, 2, 40 * MILLISECOND_NANOS, 0.1, 0.05, TICK_NANOS),
        "1.0 RESTART 0",
        "1.3 RESTART 5",
        "2.0 UNREACHABLE 1",
        "2.6 RESTART 1",
        "3.4 DRAIN 2",
        "3.6 REMOVE 2",
        "4.0 RETURN 2");
  }

  private static DecisionScenario coldFleet() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .slowStart(0.25, 4000, 2)
            .keyAffinity()
            .requestClass("read", "idempotent", 500, 1500, 3)
            .requestClass("order", "at_most_once", 500, 1500, 5);
    return scenario(
        "cold-fleet",
        16,
        settings,
        new Traffic(
            18, 8, 12 * MILLISECOND_NANOS, 4, 1, 2, 30 * MILLISECOND_NANOS, 0.02, 0, TICK_NANOS),
        "0 RESTART -1",
        "1.6 RESTART 2",
        "2.4 CROWD 0",
        "3.2 CALM 0",
        "3.6 SLOW 1");
  }

  private static DecisionScenario retryBudget() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .groupSize(4)
            .requestClass("read", "idempotent", 400, 1500, 3)
            .requestClass("write", "deduplicated all 800", 400, 1500, 4)
            .requestClass("order", "at_most_once", 400, 1500, 5);
    return scenario(
        "retry-budget",
        17,
        settings,
        new Traffic(17, 0, 0, 4, 2, 2, 40 * MILLISECOND_NANOS, 0, 0, TICK_NANOS),
        "0.4 FAILING -1",
        "1.4 HEALTHY -1",
        "2.2 UNSTABLE -1",
        "3.4 HEALTHY -1",
        "3.6 REFUSING -1",
        "4.0 HEALTHY -1");
  }

  private static DecisionScenario deduplication() {
    ScenarioSettings settings =
        new ScenarioSettings()
            .groupSize(4)
            .weightKind("rough")
            .tenant("t1", 0.7, 60)
            .tenant("t2", 0.3, 40)
            .requestClass("update", "deduplicated zone 400", 400, 1500, 3)
            .requestClass("cart", "deduplicated cell 300", 400, 1500, 3)
            .requestClass("write", "deduplicated all 100", 400, 1500, 3)
            .requestClass("order", "at_most_once", 400, 1500, 5);
    return scenario(
        "deduplication",
        18,
        settings,
        new Traffic(17, 16, 0, 8, 2, 2, 40 * MILLISECOND_NANOS, 0.1, 0, TICK_NANOS),
        "0.5 RESETTING 0",
        "0.7 RESETTING 2",
        "0.9 UNREACHABLE 4",
        "1.4 HEALTHY 0",
        "1.6 REFUSING 6",
        "2.0 HANGING 2",
        "2.4 FAILING 0",
        "2.6 DRAIN 4",
        "2.9 HEALTHY -1",
        "3.0 REMOVE 4",
        "3.2 RESETTING -1",
        "3.5 UNSTABLE -1",
        "3.6 RETURN 4");
  }

  private static DecisionScenario scenario(
      String name, long seed, ScenarioSettings settings, Traffic traffic, String... incidents) {
    return new DecisionScenario(
        name,
        seed,
        settings.toJson(),
        traffic,
        Arrays.stream(incidents).map(DecisionScenarios::incident).toList(),
        SHORT_SCENARIO_BATCHES,
        Integer.MAX_VALUE);
  }

  /** Parses an incident given by its second, kind and endpoint. */
  private static Incident incident(String text) {
    String[] words = text.split(" ", 0);
    return new Incident(
        Double.parseDouble(words[0]), IncidentKind.valueOf(words[1]), Integer.parseInt(words[2]));
  }

  /**
   * Returns the long scenarios, for which only digests are kept: each has the settings of a short
   * one, a larger fleet, one of three request rates and random incidents.
   */
  static List<DecisionScenario> longScenarios() {
    List<DecisionScenario> scenarios = new ArrayList<>();
    for (DecisionScenario base : shortScenarios()) {
      for (int loadLevel = 0; loadLevel < 3; loadLevel++) {
        scenarios.add(longScenario(base, loadLevel));
      }
    }
    return scenarios;
  }

  private static DecisionScenario longScenario(DecisionScenario base, int loadLevel) {
    long seed = base.seed() * 100 + loadLevel;
    Traffic baseTraffic = base.traffic();
    double perEndpoint = baseTraffic.requestsPerSecond() / baseTraffic.endpoints();
    Traffic traffic =
        new Traffic(
            perEndpoint * LONG_SCENARIO_ENDPOINTS * (1 + 1.5 * loadLevel),
            baseTraffic.keys() * 20,
            baseTraffic.workHintNanos(),
            LONG_SCENARIO_ENDPOINTS,
            baseTraffic.zones(),
            baseTraffic.workersPerEndpoint() + 1,
            baseTraffic.serviceTimeNanos(),
            baseTraffic.disconnectShare(),
            baseTraffic.shortDeadlineShare(),
            TICK_NANOS / 5);
    return new DecisionScenario(
        "long-" + base.name() + "-" + (loadLevel + 1),
        seed,
        base.settings(),
        traffic,
        randomIncidents(seed),
        Integer.MAX_VALUE,
        LONG_SCENARIO_EVENTS);
  }

  /**
   * Returns about one incident a second, each followed by its recovery. One in five of those that
   * change how an endpoint responds or restart it is fleet-wide.
   */
  private static List<Incident> randomIncidents(long seed) {
    SplittableRandom random = new SplittableRandom(-seed);
    IncidentKind[] kinds = IncidentKind.values();
    List<Incident> incidents = new ArrayList<>();
    for (double second = 2; second < LONG_SCENARIO_SECONDS; second += 2 * random.nextDouble()) {
      IncidentKind kind = kinds[random.nextInt(kinds.length)];
      boolean fleetWide = random.nextInt(5) == 0 && kind.ordinal() < IncidentKind.DRAIN.ordinal();
      int endpoint =
          fleetWide ? Incident.ALL_ENDPOINTS : random.nextInt(LONG_SCENARIO_ENDPOINTS + 2);
      incidents.add(new Incident(second, kind, endpoint));
      double end = second + (fleetWide ? 0.5 : 3) * (0.5 + random.nextDouble());
      incidents.add(new Incident(end, recovery(kind), endpoint));
    }
    return incidents;
  }

  private static IncidentKind recovery(IncidentKind kind) {
    return switch (kind) {
      case DRAIN -> IncidentKind.RETURN;
      case REMOVE -> IncidentKind.RESTART;
      case CROWD -> IncidentKind.CALM;
      default -> IncidentKind.HEALTHY;
    };
  }
}
