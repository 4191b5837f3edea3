package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Writes the settings of a scenario as the wire's boot-info. */
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

  /** A class with its effect ("deduplicated zone 400" names the scope and window as well). */
  ScenarioSettings requestClass(
      String name, String effect, int aimMillis, int deadlineMillis, int gain) {
    return requestClass(name, effect, aimMillis, deadlineMillis, gain, false);
  }

  /** A class whose answers are streams. */
  ScenarioSettings streamingClass(String name, int aimMillis, int deadlineMillis, int gain) {
    return requestClass(name, "idempotent", aimMillis, deadlineMillis, gain, true);
  }

  private ScenarioSettings requestClass(
      String name, String effect, int aimMillis, int deadlineMillis, int gain, boolean stream) {
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
            + aimMillis
            + "000000,\"deadline-ns\":"
            + deadlineMillis
            + "000000,\"gain\":"
            + gain
            + ",\"stream\":"
            + stream
            + "}");
    return this;
  }

  /** A tenant; the quota is 0 where none is stated. */
  ScenarioSettings tenant(String name, double portion, int quotaPerSecond) {
    tenants.add(
        "{\"name\":\""
            + name
            + "\",\"portion\":"
            + portion
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

  ScenarioSettings slowStart(double coldFrom, int warmWithinMillis, int fallMultiple) {
    contract = contract(coldFrom, warmWithinMillis, fallMultiple);
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

  private static String contract(double coldFrom, int warmWithinMillis, int fallMultiple) {
    return String.format(
        Locale.ROOT,
        "{\"answer-slack-ns\":50000000,\"ask-within-ns\":10000000000,\"drain-grace-ns\":500000000,"
            + "\"cold-from\":%s,\"warm-within-ns\":%d000000,\"fall-multiple\":%d,"
            + "\"overload-for-ns\":2000000000}",
        coldFrom,
        warmWithinMillis,
        fallMultiple);
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
