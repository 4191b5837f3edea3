package loadbalancer.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.Limits;
import loadbalancer.decision.api.Prices;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.ServiceContract;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.Tenant;
import loadbalancer.decision.api.WeightKind;
import loadbalancer.json.JsonFields;

/**
 * Decodes the settings of the decision engine, which the simulator and the platform provide in the
 * same form. Unknown fields are ignored. Defaults of absent fields that are not 0, 1, false or
 * empty are named constants.
 */
public final class SettingsDecoder {

  private static final Map<String, Idempotence> IDEMPOTENCE =
      Map.of(
          "idempotent", Idempotence.IDEMPOTENT,
          "deduplicated", Idempotence.IDEMPOTENCY_KEY,
          "at_most_once", Idempotence.NON_IDEMPOTENT);
  private static final Map<String, DedupScope> DEDUP_SCOPE =
      Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);
  private static final Map<String, WeightKind> WEIGHT_KIND =
      Map.of(
          "none", WeightKind.NONE,
          "nominal", WeightKind.NOMINAL,
          "rough", WeightKind.ROUGH,
          "live", WeightKind.LIVE);
  private static final Map<String, Boolean> POLLED_DISCOVERY =
      Map.of("pushed", false, "on_request", true);

  /** The safe default: a request that is not known to be idempotent never runs twice. */
  private static final Idempotence DEFAULT_IDEMPOTENCE = Idempotence.NON_IDEMPOTENT;

  /** The narrowest scope: a repeat is only sent to endpoints that are certain to recognise it. */
  private static final DedupScope DEFAULT_DEDUP_SCOPE = DedupScope.CELL;

  /** A single attempt without retries. */
  private static final int DEFAULT_MAX_ATTEMPTS = 1;

  /** No separate limit: admission control limits the requests in flight. */
  private static final int DEFAULT_MAX_IN_FLIGHT_REQUESTS = Integer.MAX_VALUE;

  /** One request at a time on a connection, as in HTTP/1.1. */
  private static final int DEFAULT_STREAMS_PER_CONNECTION = 1;

  /** Long enough for many round trips within a site. */
  private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 250_000_000L;

  /** The time within which a polled list is polled again; a pushed list is not polled. */
  private static final long DEFAULT_POLL_WITHIN_NANOS = 10_000_000_000L;

  /** The share of its capacity that an endpoint has when it starts. */
  private static final double DEFAULT_INITIAL_CAPACITY = 0.1;

  /** The time after its start at which an endpoint has its full capacity. */
  private static final long DEFAULT_SLOW_START_NANOS = 30_000_000_000L;

  /** The multiple of its current capacity above which a warming endpoint may fail. */
  private static final double DEFAULT_OVERLOAD_MULTIPLE = 1;

  /** The time for which the load of a warming endpoint has to exceed that multiple. */
  private static final long DEFAULT_OVERLOAD_WINDOW_NANOS = 1_000_000_000L;

  /** The points that a response in time earns. */
  private static final double DEFAULT_PRIORITY_WEIGHT = 1;

  /** The weight factor of requests over their tenant's quota; at 1 they keep their full weight. */
  private static final double DEFAULT_OVER_QUOTA_WEIGHT = 1;

  /** The time that may pass before an action is carried out. */
  private static final long DEFAULT_TICK_NANOS = 1_000_000L;

  private SettingsDecoder() {}

  /**
   * Decodes the settings.
   *
   * @throws loadbalancer.json.MalformedInputException if a field has the wrong type
   * @throws IllegalArgumentException if a value is out of its range
   */
  public static Settings decode(JsonFields settings) {
    boolean polledDiscovery = settings.constant("registry-mode", POLLED_DISCOVERY, false);
    return new Settings(
        (int) settings.integer("me", 0),
        (int) settings.integer("group-size", 1),
        settings.text("zone", ""),
        classes(settings),
        tenants(settings),
        limits(settings.objectOrEmpty("limits")),
        contract(settings.objectOrEmpty("contract"), polledDiscovery),
        prices(settings.objectOrEmpty("prices")),
        polledDiscovery,
        settings.constant("weight-kind", WEIGHT_KIND, WeightKind.NONE),
        settings.number("over-share-worth", DEFAULT_OVER_QUOTA_WEIGHT),
        settings.objectOrEmpty("domain").bool("warm-keys", false),
        settings.integer("resolution-ns", DEFAULT_TICK_NANOS));
  }

  private static List<RequestClass> classes(JsonFields settings) {
    List<RequestClass> classes = new ArrayList<>();
    for (JsonFields fields : settings.objects("categories")) {
      classes.add(requestClass(fields));
    }
    return classes;
  }

  /**
   * Decodes a class of requests. Without a stated deadline a response is of no use once it misses
   * its latency objective.
   */
  private static RequestClass requestClass(JsonFields fields) {
    long latencyObjectiveNanos = fields.integer("aim-ns");
    return new RequestClass(
        fields.text("name"),
        fields.constant("effect", IDEMPOTENCE, DEFAULT_IDEMPOTENCE),
        fields.constant("dedup-scope", DEDUP_SCOPE, DEFAULT_DEDUP_SCOPE),
        fields.integer("window-ns", 0),
        latencyObjectiveNanos,
        fields.number("aim-stretch", 0),
        fields.integer("deadline-ns", latencyObjectiveNanos),
        fields.number("gain", DEFAULT_PRIORITY_WEIGHT),
        fields.number("late-worth", 0),
        fields.bool("stream", false));
  }

  private static List<Tenant> tenants(JsonFields settings) {
    List<Tenant> tenants = new ArrayList<>();
    for (JsonFields fields : settings.objectsOrEmpty("projects")) {
      tenants.add(
          new Tenant(
              fields.text("name"), fields.number("portion", 0), fields.number("quota-per-s", 0)));
    }
    return tenants;
  }

  private static Limits limits(JsonFields fields) {
    return new Limits(
        fields.bool("cancel", false),
        fields.bool("probing", false),
        fields.bool("peers", false),
        fields.bool("second-copies", false),
        fields.bool("retry-after", false),
        fields.integer("max-retry-after-ns", 0),
        (int) fields.integer("max-attempts", DEFAULT_MAX_ATTEMPTS),
        (int) fields.integer("most-held", DEFAULT_MAX_IN_FLIGHT_REQUESTS),
        (int) fields.integer("multiplex", DEFAULT_STREAMS_PER_CONNECTION),
        fields.integer("connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT_NANOS));
  }

  private static ServiceContract contract(JsonFields fields, boolean polledDiscovery) {
    return new ServiceContract(
        fields.integer("answer-slack-ns", 0),
        fields.integer("ask-within-ns", polledDiscovery ? DEFAULT_POLL_WITHIN_NANOS : 0),
        fields.integer("drain-grace-ns", 0),
        fields.number("cold-from", DEFAULT_INITIAL_CAPACITY),
        fields.integer("warm-within-ns", DEFAULT_SLOW_START_NANOS),
        fields.number("fall-multiple", DEFAULT_OVERLOAD_MULTIPLE),
        fields.integer("overload-for-ns", DEFAULT_OVERLOAD_WINDOW_NANOS));
  }

  private static Prices prices(JsonFields fields) {
    return new Prices(
        fields.number("cross-zone", 0), fields.number("waste", 0), fields.number("late-fail", 0));
  }
}
