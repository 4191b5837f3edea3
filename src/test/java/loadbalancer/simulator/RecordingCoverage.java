package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counts the kinds of settings, events and decisions in recordings. */
final class RecordingCoverage {

  private static final long SHORTEST_EJECTION = 250 * DecisionScenario.MILLISECOND;
  private static final int FAILURES_TO_EJECT = 3;
  private static final Set<String> PROVES_NOT_RUN =
      Set.of("turned_away", "no_connection", "not_sent");
  private static final Set<String> FAILURES =
      Set.of("server_error", "no_connection", "connection_lost", "no_answer");

  private final Map<String, Integer> counts = new TreeMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<Long, Endpoint> endpoints = new HashMap<>();
  private WireJson settings;
  private long now;
  private double hints;
  private int hinted;
  private String firstOverdue;

  /** Adds a recording: batches and replies in turn. */
  void add(List<String> lines) {
    requests.clear();
    endpoints.clear();
    hints = 0;
    hinted = 0;
    for (int i = 0; i < lines.size(); i += 2) {
      WireJson batch = WireJson.parse(lines.get(i));
      now = batch.integer("clock-ns");
      batch.messages("msgs").forEach(m -> event(m.messageName(), m.messageFields()));
      WireJson.parse(lines.get(i + 1))
          .messages("actions")
          .forEach(a -> action(a.messageName(), a.messageFields()));
    }
  }

  int count(String what) {
    return counts.getOrDefault(what, 0);
  }

  /** The first request without an answer in time, or null. */
  String firstOverdue() {
    return firstOverdue;
  }

  @Override
  public String toString() {
    return counts.toString();
  }

  private void add(String what) {
    counts.merge(what, 1, Integer::sum);
  }

  private void addIf(boolean condition, String what) {
    if (condition) {
      add(what);
    }
  }

  // Events

  private void event(String name, WireJson fields) {
    switch (name) {
      case "Provision" -> provision(fields.nested("boot-info"));
      case "Topology" -> list(fields);
      case "JobIn" -> request(fields);
      case "Resolved" -> outcome(requests.get(fields.text("rid")), fields);
      case "Aborted" -> disconnected(fields.text("rid"));
      case "First" -> add("event stream started");
      case "Fired" -> add("event timer " + fields.text("handle"));
      default -> add("event " + name);
    }
  }

  private void provision(WireJson bootInfo) {
    settings = bootInfo;
    add("setting list " + settings.text("registry-mode"));
    add("setting weights " + settings.text("weight-kind"));
    add("setting warm keys " + settings.nested("domain").bool("warm-keys"));
    add("setting group of " + settings.integer("group-size"));
    List<WireJson> tenants = settings.objects("projects");
    add(
        "setting tenants "
            + (tenants.isEmpty()
                ? "none"
                : tenants.get(0).has("quota-per-s") ? "with quotas" : "without quotas"));
    WireJson limits = settings.nested("limits");
    if (limits.bool("second-copies") == limits.bool("cancel")) {
      add("setting hedges " + limits.bool("cancel"));
    }
    add("setting retry-after " + limits.bool("retry-after"));
    for (WireJson type : settings.objects("categories")) {
      add(
          "setting effect "
              + type.text("effect")
              + (type.has("dedup-scope") ? " " + type.text("dedup-scope") : ""));
    }
  }

  private void list(WireJson fields) {
    add("event list " + fields.text("kind"));
    for (WireJson entry : fields.objects("entries")) {
      Endpoint endpoint = endpoints.computeIfAbsent(entry.integer("upstream"), i -> new Endpoint());
      String state = entry.text("stage-state");
      if (!state.equals(endpoint.state)) {
        addIf(!state.equals("up"), "event endpoint " + state);
        endpoint.state = state;
        endpoint.listedAt = now;
      }
      if (entry.integer("launched-ns") > endpoint.launched) {
        add("event endpoint restarted");
        endpoint.launched = entry.integer("launched-ns");
        endpoint.recovered();
      }
    }
  }

  private void request(WireJson fields) {
    add("event request");
    add("event request " + (fields.has("object") ? "with key" : "without key"));
    addIf(fields.bool("retry"), "event client retry");
    if (fields.has("weight-hint-ns")) {
      double hint = fields.number("weight-hint-ns");
      addIf(hinted > 0 && hint > 4 * hints / hinted, "event request with heavy hint");
      hints += hint;
      hinted++;
    }
    WireJson type =
        settings.objects("categories").stream()
            .filter(c -> c.text("name").equals(fields.text("service")))
            .findFirst()
            .orElseThrow();
    requests.put(fields.text("rid"), new Request(type, now, fields.integer("drop-dead-ns")));
  }

  private void disconnected(String id) {
    add("event client disconnected");
    if (now > requests.get(id).deadline && firstOverdue == null) {
      firstOverdue = id + " at " + now;
    }
  }

  private void outcome(Request request, WireJson fields) {
    String status = fields.text("rc");
    add("outcome " + status);
    request.statuses.set((int) fields.integer("go"), status);
    Endpoint endpoint = endpoints.get(fields.integer("upstream"));
    boolean hurried =
        status.equals("no_answer")
            && fields.integer("wait-time-ns") < request.type.integer("aim-ns");
    if (status.equals("served")) {
      endpoint.recovered();
    } else if (FAILURES.contains(status) && !hurried) {
      endpoint.failed(now);
    }
  }

  // Actions

  private void action(String name, WireJson fields) {
    switch (name) {
      case "Deliver" -> sent(requests.get(fields.text("rid")), fields.integer("upstream"));
      case "Decline" -> declined(requests.get(fields.text("rid")), fields);
      case "DropRequest" -> dropped(requests.get(fields.text("rid")));
      case "AbortAttempt" -> add("decision attempt aborted");
      case "Observe" ->
          add(
              now == DecisionScenario.START
                  ? "decision subscribed to list"
                  : "decision list called again");
      case "Fault" -> add("fault");
      default -> add("action " + name);
    }
  }

  private void sent(Request request, long id) {
    if (request.statuses.isEmpty()) {
      addIf(now > request.arrivedAt, "decision held then sent");
    } else {
      add(request.statuses.contains(null) ? "decision hedge" : "decision retry");
      addIf(request.type.text("effect").equals("at_most_once"), "decision at_most_once sent again");
    }
    if (request.mayHaveRun()) {
      addIf(request.type.text("effect").equals("at_most_once"), "at_most_once repeated");
      addIf(
          request.type.text("effect").equals("deduplicated"),
          "decision repeated in " + request.type.text("dedup-scope"));
    }
    request.statuses.add(null);
    sentTo(endpoints.get(id));
  }

  private void sentTo(Endpoint endpoint) {
    addIf(!endpoint.state.equals("up") && endpoint.listedAt < now, "sent to departed endpoint");
    long warmWithin = settings.nested("contract").integer("warm-within-ns");
    addIf(
        endpoint.launched > 0 && now - endpoint.launched < warmWithin,
        "decision sent to cold endpoint");
    if (endpoint.ejectedAt > 0) {
      addIf(now - endpoint.ejectedAt < SHORTEST_EJECTION, "decision panic");
      addIf(endpoint.sentElsewhere >= 3, "decision end of ejection");
      endpoint.ejectedAt = 0;
    }
    endpoints.values().forEach(e -> sentElsewhere(e, e == endpoint));
  }

  /** An ejection counts once others have been sent three requests and the shortest one is over. */
  private void sentElsewhere(Endpoint endpoint, boolean self) {
    if (self || endpoint.ejectedAt == 0 || !endpoint.state.equals("up")) {
      return;
    }
    endpoint.sentElsewhere++;
    if (!endpoint.counted
        && endpoint.sentElsewhere >= 3
        && now - endpoint.ejectedAt >= SHORTEST_EJECTION) {
      endpoint.counted = true;
      add("decision ejection");
    }
  }

  private void declined(Request request, WireJson fields) {
    add(
        "decision declined "
            + (fields.integer("not-before-for-ns") > 0
                ? "with retry-after"
                : "without retry-after"));
    if (request.statuses.isEmpty()) {
      add(now == request.arrivedAt ? "decision declined at once" : "decision held then declined");
    }
    endedWithoutBudget(request);
  }

  private void dropped(Request request) {
    add("decision dropped " + request.type.text("effect"));
    endedWithoutBudget(request);
  }

  /** An idempotent request that is given up although attempts and time are left. */
  private void endedWithoutBudget(Request request) {
    addIf(
        request.type.text("effect").equals("idempotent")
            && !request.statuses.isEmpty()
            && request.statuses.size() < settings.nested("limits").integer("max-attempts")
            && now < request.deadline - 300 * DecisionScenario.MILLISECOND
            && endpoints.values().stream().anyMatch(e -> e.state.equals("up")),
        "decision retry budget spent");
  }

  /** A request and the outcomes of its attempts, null for one that is out. */
  private static final class Request {
    final WireJson type;
    final long arrivedAt;
    final long deadline;
    final List<String> statuses = new ArrayList<>(1);

    Request(WireJson type, long arrivedAt, long deadline) {
      this.type = type;
      this.arrivedAt = arrivedAt;
      this.deadline = deadline;
    }

    boolean mayHaveRun() {
      return statuses.stream().anyMatch(s -> s == null || !PROVES_NOT_RUN.contains(s));
    }
  }

  /** An endpoint and its failures in a row. */
  private static final class Endpoint {
    String state = "up";
    long listedAt;
    long launched;
    int failures;
    long ejectedAt;
    int sentElsewhere;
    boolean counted;

    void recovered() {
      failures = 0;
      ejectedAt = 0;
    }

    void failed(long now) {
      if (++failures == FAILURES_TO_EJECT) {
        ejectedAt = now;
        sentElsewhere = 0;
        counted = false;
      }
    }
  }
}
