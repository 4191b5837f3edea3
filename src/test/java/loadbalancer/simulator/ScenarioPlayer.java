package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import loadbalancer.simulator.DecisionScenario.Incident;
import loadbalancer.simulator.DecisionScenario.IncidentKind;
import loadbalancer.simulator.DecisionScenario.Traffic;

/**
 * Plays a scenario to one instance of the decision engine in a closed loop: the events depend on
 * the actions in the replies. It is deterministic: it reads no clock, and its only randomness is a
 * generator seeded by the scenario.
 */
final class ScenarioPlayer implements UnaryOperator<String> {

  private static final long CONNECT_TIMEOUT_NANOS = 100 * DecisionScenario.MILLISECOND_NANOS;
  private static final long FAST_RESPONSE_NANOS = 3 * DecisionScenario.MILLISECOND_NANOS;
  private static final long LIST_LATENCY_NANOS = 15 * DecisionScenario.MILLISECOND_NANOS;
  private static final int MAX_IN_FLIGHT_PER_WORKER = 12;

  private final DecisionScenario scenario;
  private final Traffic traffic;
  private final WireJson settings;
  private final SplittableRandom random;
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atNanos)
              .thenComparingLong(ScheduledAction::order));
  private final Map<Integer, Endpoint> endpoints = new LinkedHashMap<>();
  private final Map<Long, Endpoint> endpointsById = new HashMap<>();
  private final Map<String, ClientRequest> requests = new HashMap<>();
  private final Set<Endpoint> unpublishedChanges = new LinkedHashSet<>();
  private final List<String> messages = new ArrayList<>();
  private long nowNanos = DecisionScenario.START_NANOS;
  private long lastArrivalNanos = DecisionScenario.START_NANOS;
  private long nextOrder;
  private long listVersion = 1;
  private int requestCount;
  private int batchCount;
  private int eventCount;
  private double rateFactor = 1;
  private boolean isWatching;
  private int failingWatches;

  ScenarioPlayer(DecisionScenario scenario) {
    this.scenario = scenario;
    traffic = scenario.traffic();
    settings = WireJson.parse(scenario.settings());
    random = new SplittableRandom(scenario.seed());
    isWatching = !"on_request".equals(settings.text("registry-mode"));
    for (int i = 0; i < traffic.endpoints(); i++) {
      endpoint(i).isListed = true;
    }
  }

  /** Returns the number of events sent so far. */
  int eventCount() {
    return eventCount;
  }

  /** Executes the actions of a reply and returns the next batch of events, or null at the end. */
  @Override
  public String apply(String reply) {
    if (reply == null) {
      return firstBatch();
    }
    WireJson.parse(reply).messages("actions").forEach(this::execute);
    if (batchCount >= scenario.maxBatches() || eventCount >= scenario.maxEvents()) {
      return null;
    }
    do {
      nowNanos += traffic.tickNanos();
      while (scheduledActions.peek().atNanos <= nowNanos) {
        scheduledActions.poll().action.run();
      }
    } while (messages.isEmpty());
    return takeBatch();
  }

  private String firstBatch() {
    for (Incident incident : scenario.incidents()) {
      if (incident.atNanos() <= nowNanos) {
        startIncident(incident);
      } else {
        schedule(incident.atNanos(), () -> startIncident(incident));
      }
    }
    messages.clear();
    unpublishedChanges.clear();
    messages.add(
        "{\"Provision\":{\"seed\":"
            + scenario.seed()
            + ",\"boot-info\":"
            + scenario.settings()
            + "}}");
    sendEndpointList("C", endpoints.values());
    scheduleArrival();
    return takeBatch();
  }

  private String takeBatch() {
    String batch =
        "{\"clock-ns\":"
            + nowNanos
            + ",\"groups\":[{\"balancer\":0,\"msgs\":["
            + String.join(",", messages)
            + "]}]}";
    batchCount++;
    eventCount += messages.size();
    messages.clear();
    return batch;
  }

  private void schedule(long atNanos, Runnable action) {
    scheduledActions.add(new ScheduledAction(atNanos, nextOrder++, action));
  }

  private void send(String name, String fields) {
    messages.add("{\"" + name + "\":{" + fields + "}}");
  }

  // Actions

  private void execute(WireJson action) {
    WireJson fields = action.messageFields();
    switch (action.messageName()) {
      case "Deliver" -> startAttempt(fields);
      case "AbortAttempt" ->
          cancelAttempt(requests.get(fields.text("rid")), (int) fields.integer("go"));
      case "Decline" ->
          handleRejection(requests.get(fields.text("rid")), fields.integer("not-before-for-ns"));
      case "DropRequest" -> requests.get(fields.text("rid")).isEnded = true;
      case "SetTimer" -> {
        String handle = fields.text("handle");
        schedule(
            fields.integer("fire-at-ns"), () -> send("Fired", "\"handle\":\"" + handle + "\""));
      }
      case "Observe" -> schedule(nowNanos + LIST_LATENCY_NANOS, this::answerWatch);
      default -> throw new AssertionError("unexpected action " + action.values());
    }
  }

  private void startAttempt(WireJson fields) {
    ClientRequest request = requests.get(fields.text("rid"));
    Attempt attempt =
        new Attempt(
            request,
            request.attempts.size(),
            endpointsById.get(fields.integer("upstream")),
            nowNanos);
    request.attempts.add(attempt);
    attempt.endpoint.inFlight++;
    if (request.isEnded) {
      schedule(nowNanos + 1, () -> endAttempt(attempt, "not_sent"));
      return;
    }
    long timeout = fields.integer("patience-ns");
    long remaining = request.deadlineNanos - nowNanos;
    long limit = timeout > 0 ? Math.min(timeout, remaining) : remaining;
    serve(attempt, limit);
  }

  private void serve(Attempt attempt, long limit) {
    IncidentKind behaviour = attempt.endpoint.behaviour;
    if (behaviour == IncidentKind.UNSTABLE) {
      behaviour = random.nextBoolean() ? IncidentKind.FAILING : IncidentKind.HEALTHY;
    }
    switch (behaviour) {
      case FAILING -> scheduleEnd(attempt, FAST_RESPONSE_NANOS, "server_error", limit);
      case REFUSING -> scheduleEnd(attempt, FAST_RESPONSE_NANOS, "turned_away", limit);
      case RESETTING -> scheduleEnd(attempt, 5 * FAST_RESPONSE_NANOS, "connection_lost", limit);
      case UNREACHABLE -> scheduleEnd(attempt, CONNECT_TIMEOUT_NANOS, "no_connection", limit);
      case HANGING -> scheduleEnd(attempt, Long.MAX_VALUE, "served", limit);
      default -> respond(attempt, limit, behaviour == IncidentKind.SLOW ? 6 : 1);
    }
  }

  private void respond(Attempt attempt, long limit, double slowness) {
    Endpoint endpoint = attempt.endpoint;
    if (endpoint.inFlight > MAX_IN_FLIGHT_PER_WORKER * traffic.workersPerEndpoint()) {
      scheduleEnd(attempt, FAST_RESPONSE_NANOS, "turned_away", limit);
      return;
    }
    double requestsPerWorker =
        Math.max(1, (double) endpoint.inFlight / traffic.workersPerEndpoint());
    long latency =
        (long)
            (traffic.serviceTimeNanos()
                * (0.5 + random.nextDouble())
                * requestsPerWorker
                * slowness
                * slowStartFactor(endpoint)
                * attempt.request.workFactor);
    if (attempt.request.isStreaming && latency < limit) {
      schedule(nowNanos + latency / 2, () -> startStream(attempt));
    }
    scheduleEnd(attempt, latency, "served", limit);
  }

  private double slowStartFactor(Endpoint endpoint) {
    double warmAfter = settings.nested("contract").number("warm-within-ns");
    double cold = Math.max(0, 1 - (nowNanos - endpoint.startedNanos) / warmAfter);
    return endpoint.startedNanos == 0 ? 1 : 1 + 3 * cold;
  }

  private void scheduleEnd(Attempt attempt, long latency, String status, long limit) {
    String outcome = latency < limit ? status : "no_answer";
    schedule(nowNanos + Math.min(latency, limit), () -> endAttempt(attempt, outcome));
  }

  private void cancelAttempt(ClientRequest request, int number) {
    Attempt attempt = request.attempts.get(number);
    if (!attempt.isStreaming) {
      schedule(nowNanos + 1, () -> endAttempt(attempt, "called_off"));
    }
  }

  private void handleRejection(ClientRequest request, long retryAfterNanos) {
    request.isEnded = true;
    if (!request.isRetry && random.nextInt(3) == 0) {
      schedule(nowNanos + retryAfterNanos + FAST_RESPONSE_NANOS, () -> sendRequest(request));
    }
  }

  // Outcomes

  private void startStream(Attempt attempt) {
    if (!attempt.isEnded && !attempt.request.isEnded && !attempt.request.hasResponseStarted) {
      attempt.isStreaming = true;
      attempt.request.hasResponseStarted = true;
      send("First", attempt.fields() + ",\"wait-time-ns\":" + (nowNanos - attempt.sentAtNanos));
    }
  }

  private void endAttempt(Attempt attempt, String status) {
    if (attempt.isEnded) {
      return;
    }
    attempt.isEnded = true;
    attempt.endpoint.inFlight--;
    ClientRequest request = attempt.request;
    request.isEnded |= status.equals("served");
    send(
        "Resolved",
        attempt.fields()
            + ",\"rc\":\""
            + status
            + "\",\"wait-time-ns\":"
            + (nowNanos - attempt.sentAtNanos)
            + ",\"done-flag\":"
            + request.isEnded);
  }

  // Clients

  private void scheduleArrival() {
    double gap =
        -StrictMath.log(1 - random.nextDouble()) / traffic.requestsPerSecond() / rateFactor;
    lastArrivalNanos += (long) (gap * DecisionScenario.SECOND_NANOS);
    schedule(
        lastArrivalNanos,
        () -> {
          sendRequest(null);
          scheduleArrival();
        });
  }

  /** Sends a new request, or the client's retry of one that was rejected. */
  private void sendRequest(ClientRequest previous) {
    ClientRequest request =
        previous == null ? newRequest() : previous.retryAs("r" + ++requestCount);
    long timeoutNanos = request.timeoutNanos;
    request.deadlineNanos = nowNanos + timeoutNanos;
    requests.put(request.id, request);
    send(
        "JobIn",
        "\"rid\":\""
            + request.id
            + "\","
            + request.fields
            + ",\"drop-dead-ns\":"
            + request.deadlineNanos
            + (request.isRetry ? ",\"retry\":true" : ""));
    if (random.nextDouble() < traffic.disconnectShare()) {
      schedule(
          nowNanos + (long) (random.nextDouble() * timeoutNanos / 16), () -> disconnect(request));
    }
    schedule(
        request.deadlineNanos + settings.nested("contract").integer("answer-slack-ns"),
        () -> disconnect(request));
  }

  private ClientRequest newRequest() {
    List<WireJson> classes = settings.objects("categories");
    WireJson requestClass = classes.get(random.nextInt(classes.size()));
    ClientRequest request = new ClientRequest("r" + ++requestCount);
    request.isStreaming = requestClass.bool("stream");
    request.timeoutNanos = requestClass.integer("deadline-ns");
    if (random.nextDouble() < traffic.shortDeadlineShare()) {
      request.timeoutNanos /= 8;
    }
    request.fields = "\"service\":\"" + requestClass.text("name") + "\"" + tenant() + affinityKey();
    if (traffic.workHintNanos() > 0) {
      request.workFactor = random.nextInt(16) == 0 ? 8 : 0.5 + random.nextDouble();
      request.fields +=
          ",\"weight-hint-ns\":" + (long) (traffic.workHintNanos() * request.workFactor);
    }
    return request;
  }

  /**
   * Chooses a tenant by the shares; while the request rate is raised, the first tenant exceeds its
   * share.
   */
  private String tenant() {
    List<WireJson> tenants = settings.objects("projects");
    double point = rateFactor > 1 && random.nextBoolean() ? 0 : random.nextDouble();
    for (WireJson tenant : tenants) {
      point -= tenant.number("portion");
      if (point < 0) {
        return ",\"user-group\":\"" + tenant.text("name") + "\"";
      }
    }
    return "";
  }

  private String affinityKey() {
    double skew = random.nextDouble();
    return traffic.keys() == 0
        ? ""
        : ",\"object\":\"k" + (int) (traffic.keys() * skew * skew * skew) + "\"";
  }

  private void disconnect(ClientRequest request) {
    if (!request.isEnded && !request.hasResponseStarted) {
      request.isEnded = true;
      send("Aborted", "\"rid\":\"" + request.id + "\"");
    }
  }

  // Incidents

  private void startIncident(Incident incident) {
    switch (incident.kind()) {
      case CROWD -> rateFactor = 4;
      case CALM -> rateFactor = 1;
      case FULL_LIST -> sendFullList();
      case LIST_FAILURE -> failWatch();
      default -> affectedEndpoints(incident).forEach(e -> applyIncident(e, incident.kind()));
    }
  }

  private List<Endpoint> affectedEndpoints(Incident incident) {
    return incident.endpoint() == Incident.ALL_ENDPOINTS
        ? List.copyOf(endpoints.values())
        : List.of(endpoint(incident.endpoint()));
  }

  private void applyIncident(Endpoint endpoint, IncidentKind kind) {
    switch (kind) {
      case RESTART -> {
        endpoint.startedNanos = nowNanos;
        endpoint.behaviour = IncidentKind.HEALTHY;
        updateState(endpoint, "up");
      }
      case RETURN -> updateState(endpoint, "up");
      case DRAIN -> updateState(endpoint, "draining");
      case REMOVE -> updateState(endpoint, "removed");
      default -> endpoint.behaviour = kind;
    }
  }

  // The endpoint list

  private Endpoint endpoint(int number) {
    return endpoints.computeIfAbsent(
        number,
        n -> {
          Endpoint endpoint = new Endpoint(n, traffic.zones());
          endpointsById.put(endpoint.id, endpoint);
          return endpoint;
        });
  }

  private void updateState(Endpoint endpoint, String state) {
    endpoint.state = state;
    endpoint.isListed = true;
    if (isWatching) {
      sendEndpointList("D", List.of(endpoint));
    } else {
      unpublishedChanges.add(endpoint);
    }
  }

  private void sendFullList() {
    if (isWatching) {
      sendEndpointList(
          "F", endpoints.values().stream().filter(e -> !e.state.equals("removed")).toList());
    }
  }

  private void failWatch() {
    if (isWatching && "on_request".equals(settings.text("registry-mode"))) {
      isWatching = false;
      failingWatches = 2;
      send("Topology", "\"kind\":\"X\",\"stamp\":" + listVersion + ",\"entries\":[]");
    }
  }

  private void answerWatch() {
    if (failingWatches > 0) {
      failingWatches--;
      send("Topology", "\"kind\":\"X\",\"stamp\":" + listVersion + ",\"entries\":[]");
      return;
    }
    isWatching = true;
    if (listVersion == 2 || unpublishedChanges.size() > 2) {
      sendFullList();
    } else {
      sendEndpointList("D", List.copyOf(unpublishedChanges));
    }
    unpublishedChanges.clear();
  }

  private void sendEndpointList(String kind, Iterable<Endpoint> entries) {
    List<String> lines = new ArrayList<>();
    for (Endpoint endpoint : entries) {
      if (endpoint.isListed) {
        lines.add(listEntry(endpoint));
      }
    }
    send(
        "Topology",
        "\"kind\":\""
            + kind
            + "\",\"stamp\":"
            + listVersion++
            + ",\"entries\":["
            + String.join(",", lines)
            + "]");
  }

  private String listEntry(Endpoint endpoint) {
    String weight =
        switch (settings.text("weight-kind")) {
          case "none" -> "1";
          case "live" -> String.valueOf(endpoint.weight / (1 + endpoint.inFlight));
          default -> String.valueOf(endpoint.weight);
        };
    return "{\"upstream\":"
        + endpoint.id
        + ",\"region-part\":\""
        + endpoint.zone
        + "\",\"pack\":"
        + endpoint.cell
        + ",\"stage-state\":\""
        + endpoint.state
        + "\""
        + (endpoint.startedNanos > 0 ? ",\"launched-ns\":" + endpoint.startedNanos : "")
        + ",\"capacity-hint\":"
        + weight
        + "}";
  }

  /** An action that is due at a clock reading; actions due at the same reading run in order. */
  private record ScheduledAction(long atNanos, long order, Runnable action) {}

  /** A simulated endpoint. */
  private static final class Endpoint {
    private static final double[] WEIGHTS = {1, 2, 1, 4, 0.5};

    final long id;
    final String zone;
    final int cell;
    final double weight;
    String state = "up";
    IncidentKind behaviour = IncidentKind.HEALTHY;
    long startedNanos;
    int inFlight;
    boolean isListed;

    Endpoint(int number, int zones) {
      id = 11 + 7L * number;
      zone = String.valueOf((char) ('a' + number % zones));
      cell = number % zones * 10 + number / zones / 2;
      weight = WEIGHTS[number % WEIGHTS.length];
    }
  }

  /** A request of a simulated client. */
  private static final class ClientRequest {
    final String id;
    final List<Attempt> attempts = new ArrayList<>(1);
    String fields;
    long timeoutNanos;
    long deadlineNanos;
    double workFactor = 1;
    boolean isStreaming;
    boolean hasResponseStarted;
    boolean isRetry;
    boolean isEnded;

    ClientRequest(String id) {
      this.id = id;
    }

    ClientRequest retryAs(String newId) {
      ClientRequest request = new ClientRequest(newId);
      request.fields = fields;
      request.timeoutNanos = timeoutNanos;
      request.workFactor = workFactor;
      request.isStreaming = isStreaming;
      request.isRetry = true;
      return request;
    }
  }

  /** An attempt that the engine started. */
  private static final class Attempt {
    final ClientRequest request;
    final int number;
    final Endpoint endpoint;
    final long sentAtNanos;
    boolean isStreaming;
    boolean isEnded;

    Attempt(ClientRequest request, int number, Endpoint endpoint, long sentAtNanos) {
      this.request = request;
      this.number = number;
      this.endpoint = endpoint;
      this.sentAtNanos = sentAtNanos;
    }

    String fields() {
      return "\"rid\":\"" + request.id + "\",\"go\":" + number + ",\"upstream\":" + endpoint.id;
    }
  }
}
