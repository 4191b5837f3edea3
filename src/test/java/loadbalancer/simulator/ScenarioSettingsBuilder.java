package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds the settings of a scenario, which are boot-info in the simulator's protocol. */
final class ScenarioSettingsBuilder {

  private final List<String> classes = new ArrayList<>();
  private final List<String> tenants = new ArrayList<>();
  private String discoveryMode = "pushed";
  private String weightKind = "none";
  private String contract = contract(0.2, 8000, 2);
  private int groupSize = 1;
  private boolean hasKeyAffinity;
  private boolean canCancel = true;
  private boolean canHedge = true;
  private boolean hasRetryAfter = true;

  /**
   * Adds a class of requests. For a deduplicated class, the effect also states the scope of
   * deduplication and its window in milliseconds, as in "deduplicated zone 400".
   */
  ScenarioSettingsBuilder addClass(
      String name, String effect, int objectiveMillis, int deadlineMillis, int priorityWeight) {
    return addClass(name, effect, objectiveMillis, deadlineMillis, priorityWeight, false);
  }

  /** Adds a class of idempotent requests whose responses are streamed. */
  ScenarioSettingsBuilder addStreamingClass(
      String name, int objectiveMillis, int deadlineMillis, int priorityWeight) {
    return addClass(name, "idempotent", objectiveMillis, deadlineMillis, priorityWeight, true);
  }

  private ScenarioSettingsBuilder addClass(
      String name,
      String effect,
      int objectiveMillis,
      int deadlineMillis,
      int priorityWeight,
      boolean isStreaming) {
    String[] words = effect.split(" ", 0);
    classes.add(
        "{\"name\":\""
            + name
            + "\",\"effect\":\""
            + words[0]
            + "\""
            + (words.length == 1
                ? ""
                : ",\"dedup-scope\":\"" + words[1] + "\",\"window-ns\":" + words[2] + "000000")
            + ",\"aim-ns\":"
            + objectiveMillis
            + "000000,\"deadline-ns\":"
            + deadlineMillis
            + "000000,\"gain\":"
            + priorityWeight
            + ",\"stream\":"
            + isStreaming
            + "}");
    return this;
  }

  /** Adds a tenant; with a quota of 0 the settings state no quota for it. */
  ScenarioSettingsBuilder addTenant(String name, double share, int quotaPerSecond) {
    tenants.add(
        "{\"name\":\""
            + name
            + "\",\"portion\":"
            + share
            + (quotaPerSecond > 0 ? ",\"quota-per-s\":" + quotaPerSecond : "")
            + "}");
    return this;
  }

  ScenarioSettingsBuilder withPolledDiscovery() {
    discoveryMode = "on_request";
    return this;
  }

  ScenarioSettingsBuilder withWeightKind(String kind) {
    weightKind = kind;
    return this;
  }

  ScenarioSettingsBuilder withGroupSize(int instances) {
    groupSize = instances;
    return this;
  }

  ScenarioSettingsBuilder withKeyAffinity() {
    hasKeyAffinity = true;
    return this;
  }

  ScenarioSettingsBuilder withSlowStart(
      double initialCapacity, int slowStartMillis, int overloadMultiple) {
    contract = contract(initialCapacity, slowStartMillis, overloadMultiple);
    return this;
  }

  ScenarioSettingsBuilder withoutHedgesOrCancellation() {
    canCancel = false;
    canHedge = false;
    return this;
  }

  ScenarioSettingsBuilder withoutRetryAfter() {
    hasRetryAfter = false;
    return this;
  }

  private static String contract(
      double initialCapacity, int slowStartMillis, int overloadMultiple) {
    return String.format(
        Locale.ROOT,
        "{\"answer-slack-ns\":50000000,\"ask-within-ns\":10000000000,\"drain-grace-ns\":500000000,"
            + "\"cold-from\":%s,\"warm-within-ns\":%d000000,\"fall-multiple\":%d,"
            + "\"overload-for-ns\":2000000000}",
        initialCapacity,
        slowStartMillis,
        overloadMultiple);
  }

  String toJson() {
    return "{\"categories\":["
        + String.join(",", classes)
        + "],\"contract\":"
        + contract
        + ",\"domain\":{\"warm-keys\":"
        + hasKeyAffinity
        + "},\"group-size\":"
        + groupSize
        + ",\"limits\":{\"cancel\":"
        + canCancel
        + ",\"max-attempts\":4,\"most-held\":300,"
        + "\"retry-after\":"
        + hasRetryAfter
        + ",\"max-retry-after-ns\":2500000000,"
        + "\"second-copies\":"
        + canHedge
        + "},\"me\":0,\"over-share-worth\":0.05"
        + (tenants.isEmpty() ? "" : ",\"projects\":[" + String.join(",", tenants) + "]")
        + ",\"registry-mode\":\""
        + discoveryMode
        + "\",\"resolution-ns\":30000000,\"weight-kind\":\""
        + weightKind
        + "\",\"zone\":\"a\"}";
  }
}
