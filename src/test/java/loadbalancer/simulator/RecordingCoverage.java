package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Counts the kinds of settings, events and decisions in recordings. */
final class RecordingCoverage {

  private static final long MIN_EJECTION_NANOS = 250 * DecisionScenario.MILLISECOND_NANOS;
  private static final int CONSECUTIVE_FAILURES_TO_EJECT = 3;
  private static final Set<String> NOT_RUN_STATUSES =
      Set.of("turned_away", "no_connection", "not_sent");
  private static final Set<String> FAILURE_STATUSES =
      Set.of("server_error", "no_connection", "connection_lost", "no_answer");

  private final Map<String, Integer> counts = new TreeMap<>();
  private final Map<String, Request> requests = new HashMap<>();
  private final Map<Long, Endpoint> endpoints = new HashMap<>();
  private WireJson settings;
  private long nowNanos;
  private double workHintSumNanos;
  private int workHintCount;
  private String firstOverdueRequest;

  /**
   * Adds the settings, events and decisions of a recording to the counts.
   *
   * @param lines batches and replies in turn
   */
  void addRecording(List<String> lines) {
    requests.clear();
    endpoints.clear();
    workHintSumNanos = 0;
    workHintCount = 0;
    for (int i = 0; i < lines.size(); i += 2) {
      WireJson batch = WireJson.parse(lines.get(i));
      nowNanos = batch.integer("clock-ns");
      batch.messages("msgs").forEach(m -> countEvent(m.messageName(), m.messageFields()));
      WireJson.parse(lines.get(i + 1))
          .messages("actions")
          .forEach(a -> countAction(a.messageName(), a.messageFields()));
    }
  }

  int count(String category) {
    return counts.getOrDefault(category, 0);
  }

  /**
   * Returns the first request whose client gave up after its deadline without a final response, and
   * when; null if there is none.
   */
  String firstOverdueRequest() {
    return firstOverdueRequest;
  }

  @Override
  public String toString() {
    return counts.toString();
  }

  private void increment(String category) {
    counts.merge(category, 1, Integer::sum);
  }

  private void incrementIf(boolean condition, String category) {
    if (condition) {
      increment(category);
    }
  }

  // Events

  private void countEvent(String name, WireJson fields) {
    switch (name) {
      case "Provision" -> countSettings(fields.nested("boot-info"));
      case "Topology" -> countEndpointList(fields);
      case "JobIn" -> countRequest(fields);
      case "Resolved" -> countOutcome(requests.get(fields.text("rid")), fields);
      case "Aborted" -> countDisconnect(fields.text("rid"));
      case "First" -> increment("event stream started");
      case "Fired" -> increment("event timer " + fields.text("handle"));
      default -> increment("event " + name);
    }
  }

  private void countSettings(WireJson bootInfo) {
    settings = bootInfo;
    increment("setting list " + settings.text("registry-mode"));
    increment("setting weights " + settings.text("weight-kind"));
    increment("setting key affinity " + settings.nested("domain").bool("warm-keys"));
    increment("setting group of " + settings.integer("group-size"));
    List<WireJson> tenants = settings.objects("projects");
    increment(
        "setting tenants "
            + (tenants.isEmpty()
                ? "none"
                : tenants.get(0).has("quota-per-s") ? "with quotas" : "without quotas"));
    WireJson limits = settings.nested("limits");
    if (limits.bool("second-copies") == limits.bool("cancel")) {
      increment("setting hedges " + limits.bool("cancel"));
    }
    increment("setting retry-after " + limits.bool("retry-after"));
    for (WireJson requestClass : settings.objects("categories")) {
      increment(
          "setting effect "
              + requestClass.text("effect")
              + (requestClass.has("dedup-scope") ? " " + requestClass.text("dedup-scope") : ""));
    }
  }

  private void countEndpointList(WireJson fields) {
    increment("event list " + fields.text("kind"));
    for (WireJson entry : fields.objects("entries")) {
      Endpoint endpoint = endpoints.computeIfAbsent(entry.integer("upstream"), i -> new Endpoint());
      String state = entry.text("stage-state");
      if (!state.equals(endpoint.state)) {
        incrementIf(!state.equals("up"), "event endpoint " + state);
        endpoint.state = state;
        endpoint.stateSinceNanos = nowNanos;
      }
      if (entry.integer("launched-ns") > endpoint.startedAtNanos) {
        increment("event endpoint restarted");
        endpoint.startedAtNanos = entry.integer("launched-ns");
        endpoint.clearFailures();
      }
    }
  }

  private void countRequest(WireJson fields) {
    increment("event request");
    increment("event request " + (fields.has("object") ? "with key" : "without key"));
    incrementIf(fields.bool("retry"), "event client retry");
    if (fields.has("weight-hint-ns")) {
      double workHint = fields.number("weight-hint-ns");
      incrementIf(
          workHintCount > 0 && workHint > 4 * workHintSumNanos / workHintCount,
          "event request with heavy hint");
      workHintSumNanos += workHint;
      workHintCount++;
    }
    WireJson requestClass =
        settings.objects("categories").stream()
            .filter(c -> c.text("name").equals(fields.text("service")))
            .findFirst()
            .orElseThrow();
    requests.put(
        fields.text("rid"), new Request(requestClass, nowNanos, fields.integer("drop-dead-ns")));
  }

  private void countDisconnect(String requestId) {
    increment("event client disconnected");
    if (nowNanos > requests.get(requestId).deadlineNanos && firstOverdueRequest == null) {
      firstOverdueRequest = requestId + " at " + nowNanos;
    }
  }

  private void countOutcome(Request request, WireJson fields) {
    String status = fields.text("rc");
    increment("outcome " + status);
    request.statuses.set((int) fields.integer("go"), status);
    Endpoint endpoint = endpoints.get(fields.integer("upstream"));
    boolean isEarlyTimeout =
        status.equals("no_answer")
            && fields.integer("wait-time-ns") < request.requestClass.integer("aim-ns");
    if (status.equals("served")) {
      endpoint.clearFailures();
    } else if (FAILURE_STATUSES.contains(status) && !isEarlyTimeout) {
      endpoint.recordFailure(nowNanos);
    }
  }

  // Actions

  private void countAction(String name, WireJson fields) {
    switch (name) {
      case "Deliver" -> countAttempt(requests.get(fields.text("rid")), fields.integer("upstream"));
      case "Decline" -> countRejection(requests.get(fields.text("rid")), fields);
      case "DropRequest" -> countFailure(requests.get(fields.text("rid")));
      case "AbortAttempt" -> increment("decision attempt cancelled");
      case "Observe" ->
          increment(
              nowNanos == DecisionScenario.START_NANOS
                  ? "decision list watched"
                  : "decision list watched again");
      case "Fault" -> increment("fault");
      default -> increment("action " + name);
    }
  }

  private void countAttempt(Request request, long endpointId) {
    if (request.statuses.isEmpty()) {
      incrementIf(nowNanos > request.arrivedAtNanos, "decision queued then sent");
    } else {
      increment(request.statuses.contains(null) ? "decision hedge" : "decision retry");
      incrementIf(
          request.requestClass.text("effect").equals("at_most_once"),
          "decision at_most_once sent again");
    }
    if (request.mayHaveRun()) {
      incrementIf(
          request.requestClass.text("effect").equals("at_most_once"), "at_most_once repeated");
      incrementIf(
          request.requestClass.text("effect").equals("deduplicated"),
          "decision repeated in " + request.requestClass.text("dedup-scope"));
    }
    request.statuses.add(null);
    countAttemptTo(endpoints.get(endpointId));
  }

  private void countAttemptTo(Endpoint endpoint) {
    incrementIf(
        !endpoint.state.equals("up") && endpoint.stateSinceNanos < nowNanos,
        "sent to unavailable endpoint");
    long slowStartNanos = settings.nested("contract").integer("warm-within-ns");
    incrementIf(
        endpoint.startedAtNanos > 0 && nowNanos - endpoint.startedAtNanos < slowStartNanos,
        "decision sent to warming endpoint");
    if (endpoint.ejectedAtNanos > 0) {
      incrementIf(nowNanos - endpoint.ejectedAtNanos < MIN_EJECTION_NANOS, "decision panic");
      incrementIf(endpoint.attemptsElsewhere >= 3, "decision end of ejection");
      endpoint.ejectedAtNanos = 0;
    }
    endpoints.values().forEach(e -> countAttemptElsewhere(e, e == endpoint));
  }

  /**
   * Counts an endpoint as ejected once, since its third failure in a row, other endpoints have got
   * three attempts and the shortest ejection time has passed.
   */
  private void countAttemptElsewhere(Endpoint endpoint, boolean isAttempted) {
    if (isAttempted || endpoint.ejectedAtNanos == 0 || !endpoint.state.equals("up")) {
      return;
    }
    endpoint.attemptsElsewhere++;
    if (!endpoint.isEjectionCounted
        && endpoint.attemptsElsewhere >= 3
        && nowNanos - endpoint.ejectedAtNanos >= MIN_EJECTION_NANOS) {
      endpoint.isEjectionCounted = true;
      increment("decision ejection");
    }
  }

  private void countRejection(Request request, WireJson fields) {
    increment(
        "decision rejected "
            + (fields.integer("not-before-for-ns") > 0
                ? "with retry-after"
                : "without retry-after"));
    if (request.statuses.isEmpty()) {
      increment(
          nowNanos == request.arrivedAtNanos
              ? "decision rejected at once"
              : "decision queued then rejected");
    }
    countIfRetryBudgetExhausted(request);
  }

  private void countFailure(Request request) {
    increment("decision dropped " + request.requestClass.text("effect"));
    countIfRetryBudgetExhausted(request);
  }

  /**
   * Counts an idempotent request that is given up although attempts and time are left and an
   * endpoint is ready, which only an exhausted retry budget explains.
   */
  private void countIfRetryBudgetExhausted(Request request) {
    incrementIf(
        request.requestClass.text("effect").equals("idempotent")
            && !request.statuses.isEmpty()
            && request.statuses.size() < settings.nested("limits").integer("max-attempts")
            && nowNanos < request.deadlineNanos - 300 * DecisionScenario.MILLISECOND_NANOS
            && endpoints.values().stream().anyMatch(e -> e.state.equals("up")),
        "decision retry budget exhausted");
  }

  /**
   * A request and the outcomes of its attempts; the outcome is null while an attempt is in flight.
   */
  private static final class Request {
    final WireJson requestClass;
    final long arrivedAtNanos;
    final long deadlineNanos;
    final List<String> statuses = new ArrayList<>(1);

    Request(WireJson requestClass, long arrivedAtNanos, long deadlineNanos) {
      this.requestClass = requestClass;
      this.arrivedAtNanos = arrivedAtNanos;
      this.deadlineNanos = deadlineNanos;
    }

    boolean mayHaveRun() {
      return statuses.stream().anyMatch(s -> s == null || !NOT_RUN_STATUSES.contains(s));
    }
  }

  /**
   * An endpoint's listed state, its start time, its consecutive failures, and the number of
   * attempts on other endpoints since these failures ejected it.
   */
  private static final class Endpoint {
    String state = "up";
    long stateSinceNanos;
    long startedAtNanos;
    int consecutiveFailures;
    long ejectedAtNanos;
    int attemptsElsewhere;
    boolean isEjectionCounted;

    void clearFailures() {
      consecutiveFailures = 0;
      ejectedAtNanos = 0;
    }

    void recordFailure(long nowNanos) {
      if (++consecutiveFailures == CONSECUTIVE_FAILURES_TO_EJECT) {
        ejectedAtNanos = nowNanos;
        attemptsElsewhere = 0;
        isEjectionCounted = false;
      }
    }
  }
}
