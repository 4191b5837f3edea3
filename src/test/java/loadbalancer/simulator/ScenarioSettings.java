package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Builds the settings of a scenario, which are boot-info in the simulator's protocol. */
final class ScenarioSettings {

  private final List<String> classes = new ArrayList<>();
  private final List<String> tenants = new ArrayList<>();
  private String discoveryMode = "pushed";
  private String weightKind = "none";
  private String contract = contract(0.2, 8000, 2);
  private int groupSize = 1;
  private boolean keyAffinity;
  private boolean cancellation = true;
  private boolean hedging = true;
  private boolean retryAfter = true;

  /**
   * Adds a class of requests. The effect "deduplicated zone 400" also names the scope and the
   * window in milliseconds.
   */
  ScenarioSettings requestClass(
      String name, String effect, int objectiveMillis, int deadlineMillis, int priorityWeight) {
    return requestClass(name, effect, objectiveMillis, deadlineMillis, priorityWeight, false);
  }

  /** Adds a class of idempotent requests whose responses are streamed. */
  ScenarioSettings streamingClass(
      String name, int objectiveMillis, int deadlineMillis, int priorityWeight) {
    return requestClass(name, "idempotent", objectiveMillis, deadlineMillis, priorityWeight, true);
  }

  private ScenarioSettings requestClass(
      String name,
      String effect,
      int objectiveMillis,
      int deadlineMillis,
      int priorityWeight,
      boolean streaming) {
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
            + streaming
            + "}");
    return this;
  }

  /** Adds a tenant; a quota of 0 means that none is stated. */
  ScenarioSettings tenant(String name, double share, int quotaPerSecond) {
    tenants.add(
        "{\"name\":\""
            + name
            + "\",\"portion\":"
            + share
            + (quotaPerSecond > 0 ? ",\"quota-per-s\":" + quotaPerSecond : "")
            + "}");
    return this;
  }

  ScenarioSettings polledDiscovery() {
    discoveryMode = "on_request";
    return this;
  }

  ScenarioSettings weightKind(String kind) {
    weightKind = kind;
    return this;
  }

  ScenarioSettings groupSize(int instances) {
    groupSize = instances;
    return this;
  }

  ScenarioSettings keyAffinity() {
    keyAffinity = true;
    return this;
  }

  ScenarioSettings slowStart(double initialCapacity, int slowStartMillis, int overloadMultiple) {
    contract = contract(initialCapacity, slowStartMillis, overloadMultiple);
    return this;
  }

  ScenarioSettings withoutHedges() {
    cancellation = false;
    hedging = false;
    return this;
  }

  ScenarioSettings withoutRetryAfter() {
    retryAfter = false;
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
        + keyAffinity
        + "},\"group-size\":"
        + groupSize
        + ",\"limits\":{\"cancel\":"
        + cancellation
        + ",\"max-attempts\":4,\"most-held\":300,"
        + "\"retry-after\":"
        + retryAfter
        + ",\"max-retry-after-ns\":2500000000,"
        + "\"second-copies\":"
        + hedging
        + "},\"me\":0,\"over-share-worth\":0.05"
        + (tenants.isEmpty() ? "" : ",\"projects\":[" + String.join(",", tenants) + "]")
        + ",\"registry-mode\":\""
        + discoveryMode
        + "\",\"resolution-ns\":30000000,\"weight-kind\":\""
        + weightKind
        + "\",\"zone\":\"a\"}";
  }
}
