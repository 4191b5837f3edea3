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
 * Plays a scenario to one instance of the decision engine as a closed loop: the events depend on
 * the actions in the replies. Its only randomness is a generator seeded by the scenario; it reads
 * no clock.
 */
final class ScenarioPlayer implements UnaryOperator<String> {

  private static final long CONNECT_TIMEOUT = 100 * DecisionScenario.MILLISECOND;
  private static final long QUICK = 3 * DecisionScenario.MILLISECOND;
  private static final long LIST_CALL = 15 * DecisionScenario.MILLISECOND;
  private static final int QUEUE_LIMIT = 12;

  private final DecisionScenario scenario;
  private final Traffic traffic;
  private final WireJson settings;
  private final SplittableRandom random;
  private final PriorityQueue<Pending> pending =
      new PriorityQueue<>(Comparator.comparingLong(Pending::at).thenComparingLong(Pending::order));
  private final Map<Integer, Endpoint> endpoints = new LinkedHashMap<>();
  private final Map<Long, Endpoint> endpointsById = new HashMap<>();
  private final Map<String, ClientRequest> requests = new HashMap<>();
  private final Set<Endpoint> unpublished = new LinkedHashSet<>();
  private final List<String> messages = new ArrayList<>();
  private long now = DecisionScenario.START;
  private long lastArrival = DecisionScenario.START;
  private long order;
  private long listVersion = 1;
  private int requestCount;
  private int batches;
  private int events;
  private double crowd = 1;
  private boolean subscribed;
  private int failingListCalls;

  ScenarioPlayer(DecisionScenario scenario) {
    this.scenario = scenario;
    traffic = scenario.traffic();
    settings = WireJson.parse(scenario.settings());
    random = new SplittableRandom(scenario.seed());
    subscribed = !"on_request".equals(settings.text("registry-mode"));
    for (int i = 0; i < traffic.endpoints(); i++) {
      endpoint(i).listed = true;
    }
  }

  /** How many events were sent. */
  int events() {
    return events;
  }

  /** Carries out the actions of a reply and returns the next batch, or null at the end. */
  @Override
  public String apply(String reply) {
    if (reply == null) {
      return firstBatch();
    }
    WireJson.parse(reply).messages("actions").forEach(this::carryOut);
    if (batches >= scenario.maxBatches() || events >= scenario.maxEvents()) {
      return null;
    }
    do {
      now += traffic.tickNanos();
      while (pending.peek().at <= now) {
        pending.poll().action.run();
      }
    } while (messages.isEmpty());
    return batch();
  }

  private String firstBatch() {
    for (Incident incident : scenario.incidents()) {
      if (incident.atNanos() <= now) {
        happen(incident);
      } else {
        schedule(incident.atNanos(), () -> happen(incident));
      }
    }
    messages.clear();
    unpublished.clear();
    messages.add(
        "{\"Provision\":{\"seed\":"
            + scenario.seed()
            + ",\"boot-info\":"
            + scenario.settings()
            + "}}");
    topology("C", endpoints.values());
    scheduleArrival();
    return batch();
  }

  private String batch() {
    String batch =
        "{\"clock-ns\":"
            + now
            + ",\"groups\":[{\"balancer\":0,\"msgs\":["
            + String.join(",", messages)
            + "]}]}";
    batches++;
    events += messages.size();
    messages.clear();
    return batch;
  }

  private void schedule(long at, Runnable action) {
    pending.add(new Pending(at, order++, action));
  }

  private void send(String name, String fields) {
    messages.add("{\"" + name + "\":{" + fields + "}}");
  }

  // Actions

  private void carryOut(WireJson action) {
    WireJson fields = action.messageFields();
    switch (action.messageName()) {
      case "Deliver" -> deliver(fields);
      case "AbortAttempt" -> abort(requests.get(fields.text("rid")), (int) fields.integer("go"));
      case "Decline" ->
          declined(requests.get(fields.text("rid")), fields.integer("not-before-for-ns"));
      case "DropRequest" -> requests.get(fields.text("rid")).ended = true;
      case "SetTimer" -> {
        String handle = fields.text("handle");
        schedule(
            fields.integer("fire-at-ns"), () -> send("Fired", "\"handle\":\"" + handle + "\""));
      }
      case "Observe" -> schedule(now + LIST_CALL, this::answerListCall);
      default -> throw new AssertionError("unexpected action " + action.values());
    }
  }

  private void deliver(WireJson fields) {
    ClientRequest request = requests.get(fields.text("rid"));
    Attempt attempt =
        new Attempt(
            request, request.attempts.size(), endpointsById.get(fields.integer("upstream")), now);
    request.attempts.add(attempt);
    attempt.endpoint.inFlight++;
    if (request.ended) {
      schedule(now + 1, () -> resolve(attempt, "not_sent"));
      return;
    }
    long patience = fields.integer("patience-ns");
    long left = request.deadline - now;
    long limit = patience > 0 ? Math.min(patience, left) : left;
    serve(attempt, limit);
  }

  private void serve(Attempt attempt, long limit) {
    IncidentKind behaviour = attempt.endpoint.behaviour;
    if (behaviour == IncidentKind.UNSTABLE) {
      behaviour = random.nextBoolean() ? IncidentKind.FAILING : IncidentKind.HEALTHY;
    }
    switch (behaviour) {
      case FAILING -> end(attempt, QUICK, "server_error", limit);
      case REFUSING -> end(attempt, QUICK, "turned_away", limit);
      case RESETTING -> end(attempt, 5 * QUICK, "connection_lost", limit);
      case UNREACHABLE -> end(attempt, CONNECT_TIMEOUT, "no_connection", limit);
      case HANGING -> end(attempt, Long.MAX_VALUE, "served", limit);
      default -> answer(attempt, limit, behaviour == IncidentKind.SLOW ? 6 : 1);
    }
  }

  private void answer(Attempt attempt, long limit, double slowness) {
    Endpoint endpoint = attempt.endpoint;
    if (endpoint.inFlight > QUEUE_LIMIT * traffic.workers()) {
      end(attempt, QUICK, "turned_away", limit);
      return;
    }
    double queue = Math.max(1, (double) endpoint.inFlight / traffic.workers());
    long latency =
        (long)
            (traffic.serviceNanos()
                * (0.5 + random.nextDouble())
                * queue
                * slowness
                * coldness(endpoint)
                * attempt.request.work);
    if (attempt.request.stream && latency < limit) {
      schedule(now + latency / 2, () -> startStream(attempt));
    }
    end(attempt, latency, "served", limit);
  }

  private double coldness(Endpoint endpoint) {
    double warmAfter = settings.nested("contract").number("warm-within-ns");
    double cold = Math.max(0, 1 - (now - endpoint.launched) / warmAfter);
    return endpoint.launched == 0 ? 1 : 1 + 3 * cold;
  }

  private void end(Attempt attempt, long latency, String status, long limit) {
    String outcome = latency < limit ? status : "no_answer";
    schedule(now + Math.min(latency, limit), () -> resolve(attempt, outcome));
  }

  private void abort(ClientRequest request, int number) {
    Attempt attempt = request.attempts.get(number);
    if (!attempt.streaming) {
      schedule(now + 1, () -> resolve(attempt, "called_off"));
    }
  }

  private void declined(ClientRequest request, long notBefore) {
    request.ended = true;
    if (!request.retry && random.nextInt(3) == 0) {
      schedule(now + notBefore + QUICK, () -> arrive(request));
    }
  }

  // Outcomes

  private void startStream(Attempt attempt) {
    if (!attempt.ended && !attempt.request.ended && !attempt.request.streamed) {
      attempt.streaming = true;
      attempt.request.streamed = true;
      send("First", attempt.fields() + ",\"wait-time-ns\":" + (now - attempt.sentAt));
    }
  }

  private void resolve(Attempt attempt, String status) {
    if (attempt.ended) {
      return;
    }
    attempt.ended = true;
    attempt.endpoint.inFlight--;
    ClientRequest request = attempt.request;
    request.ended |= status.equals("served");
    send(
        "Resolved",
        attempt.fields()
            + ",\"rc\":\""
            + status
            + "\",\"wait-time-ns\":"
            + (now - attempt.sentAt)
            + ",\"done-flag\":"
            + request.ended);
  }

  // Clients

  private void scheduleArrival() {
    double gap = -StrictMath.log(1 - random.nextDouble()) / traffic.requestsPerSecond() / crowd;
    lastArrival += (long) (gap * DecisionScenario.SECOND);
    schedule(
        lastArrival,
        () -> {
          arrive(null);
          scheduleArrival();
        });
  }

  /** A new request, or the client's own retry of one that was declined. */
  private void arrive(ClientRequest previous) {
    ClientRequest request = previous == null ? newRequest() : previous.again("r" + ++requestCount);
    long wait = request.patience;
    request.deadline = now + wait;
    requests.put(request.id, request);
    send(
        "JobIn",
        "\"rid\":\""
            + request.id
            + "\","
            + request.fields
            + ",\"drop-dead-ns\":"
            + request.deadline
            + (request.retry ? ",\"retry\":true" : ""));
    if (random.nextDouble() < traffic.disconnectShare()) {
      schedule(now + (long) (random.nextDouble() * wait / 16), () -> disconnect(request));
    }
    schedule(
        request.deadline + settings.nested("contract").integer("answer-slack-ns"),
        () -> disconnect(request));
  }

  private ClientRequest newRequest() {
    List<WireJson> classes = settings.objects("categories");
    WireJson type = classes.get(random.nextInt(classes.size()));
    ClientRequest request = new ClientRequest("r" + ++requestCount);
    request.stream = type.bool("stream");
    request.patience = type.integer("deadline-ns");
    if (random.nextDouble() < traffic.hurriedShare()) {
      request.patience /= 8;
    }
    request.fields = "\"service\":\"" + type.text("name") + "\"" + tenant() + key();
    if (traffic.hintNanos() > 0) {
      request.work = random.nextInt(16) == 0 ? 8 : 0.5 + random.nextDouble();
      request.fields += ",\"weight-hint-ns\":" + (long) (traffic.hintNanos() * request.work);
    }
    return request;
  }

  /** A tenant by its portion; the first asks for more than that while there is a crowd. */
  private String tenant() {
    List<WireJson> tenants = settings.objects("projects");
    double point = crowd > 1 && random.nextBoolean() ? 0 : random.nextDouble();
    for (WireJson tenant : tenants) {
      point -= tenant.number("portion");
      if (point < 0) {
        return ",\"user-group\":\"" + tenant.text("name") + "\"";
      }
    }
    return "";
  }

  private String key() {
    double skew = random.nextDouble();
    return traffic.keys() == 0
        ? ""
        : ",\"object\":\"k" + (int) (traffic.keys() * skew * skew * skew) + "\"";
  }

  private void disconnect(ClientRequest request) {
    if (!request.ended && !request.streamed) {
      request.ended = true;
      send("Aborted", "\"rid\":\"" + request.id + "\"");
    }
  }

  // Incidents

  private void happen(Incident incident) {
    switch (incident.kind()) {
      case CROWD -> crowd = 4;
      case CALM -> crowd = 1;
      case FULL_LIST -> publishAll();
      case LIST_FAILURE -> breakSubscription();
      default -> affected(incident).forEach(e -> change(e, incident.kind()));
    }
  }

  private List<Endpoint> affected(Incident incident) {
    return incident.endpoint() == Incident.ALL
        ? List.copyOf(endpoints.values())
        : List.of(endpoint(incident.endpoint()));
  }

  private void change(Endpoint endpoint, IncidentKind kind) {
    switch (kind) {
      case RESTART -> {
        endpoint.launched = now;
        endpoint.behaviour = IncidentKind.HEALTHY;
        list(endpoint, "up");
      }
      case RETURN -> list(endpoint, "up");
      case DRAIN -> list(endpoint, "draining");
      case REMOVE -> list(endpoint, "removed");
      default -> endpoint.behaviour = kind;
    }
  }

  // The list

  private Endpoint endpoint(int number) {
    return endpoints.computeIfAbsent(
        number,
        n -> {
          Endpoint endpoint = new Endpoint(n, traffic.zones());
          endpointsById.put(endpoint.id, endpoint);
          return endpoint;
        });
  }

  private void list(Endpoint endpoint, String state) {
    endpoint.state = state;
    endpoint.listed = true;
    if (subscribed) {
      topology("D", List.of(endpoint));
    } else {
      unpublished.add(endpoint);
    }
  }

  private void publishAll() {
    if (subscribed) {
      topology("F", endpoints.values().stream().filter(e -> !e.state.equals("removed")).toList());
    }
  }

  private void breakSubscription() {
    if (subscribed && "on_request".equals(settings.text("registry-mode"))) {
      subscribed = false;
      failingListCalls = 2;
      send("Topology", "\"kind\":\"X\",\"stamp\":" + listVersion + ",\"entries\":[]");
    }
  }

  private void answerListCall() {
    if (failingListCalls > 0) {
      failingListCalls--;
      send("Topology", "\"kind\":\"X\",\"stamp\":" + listVersion + ",\"entries\":[]");
      return;
    }
    subscribed = true;
    if (listVersion == 2 || unpublished.size() > 2) {
      publishAll();
    } else {
      topology("D", List.copyOf(unpublished));
    }
    unpublished.clear();
  }

  private void topology(String kind, Iterable<Endpoint> entries) {
    List<String> lines = new ArrayList<>();
    for (Endpoint endpoint : entries) {
      if (endpoint.listed) {
        lines.add(entry(endpoint));
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

  private String entry(Endpoint endpoint) {
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
        + (endpoint.launched > 0 ? ",\"launched-ns\":" + endpoint.launched : "")
        + ",\"capacity-hint\":"
        + weight
        + "}";
  }

  /** Something that will happen. */
  private record Pending(long at, long order, Runnable action) {}

  /** An endpoint of the model. */
  private static final class Endpoint {
    private static final double[] WEIGHTS = {1, 2, 1, 4, 0.5};

    final long id;
    final String zone;
    final int cell;
    final double weight;
    String state = "up";
    IncidentKind behaviour = IncidentKind.HEALTHY;
    long launched;
    int inFlight;
    boolean listed;

    Endpoint(int number, int zones) {
      id = 11 + 7L * number;
      zone = String.valueOf((char) ('a' + number % zones));
      cell = number % zones * 10 + number / zones / 2;
      weight = WEIGHTS[number % WEIGHTS.length];
    }
  }

  /** A client's request. */
  private static final class ClientRequest {
    final String id;
    final List<Attempt> attempts = new ArrayList<>(1);
    String fields;
    long patience;
    long deadline;
    double work = 1;
    boolean stream;
    boolean streamed;
    boolean retry;
    boolean ended;

    ClientRequest(String id) {
      this.id = id;
    }

    ClientRequest again(String newId) {
      ClientRequest request = new ClientRequest(newId);
      request.fields = fields;
      request.patience = patience;
      request.work = work;
      request.stream = stream;
      request.retry = true;
      return request;
    }
  }

  /** An attempt that the engine asked for. */
  private static final class Attempt {
    final ClientRequest request;
    final int number;
    final Endpoint endpoint;
    final long sentAt;
    boolean streaming;
    boolean ended;

    Attempt(ClientRequest request, int number, Endpoint endpoint, long sentAt) {
      this.request = request;
      this.number = number;
      this.endpoint = endpoint;
      this.sentAt = sentAt;
    }

    String fields() {
      return "\"rid\":\"" + request.id + "\",\"go\":" + number + ",\"upstream\":" + endpoint.id;
    }
  }
}
