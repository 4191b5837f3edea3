package loadbalancer.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The parameters that all proxies of a run share, from which their settings are generated.
 *
 * @param instances the number of proxies
 * @param kinds the request classes
 * @param drainGraceMillis the time after a notification within which a draining endpoint may still
 *     receive requests
 * @param slowStartMillis the time after its start until an endpoint has its full capacity
 * @param initialCapacity the fraction of its capacity that an endpoint starts with
 * @param overloadMultiple the multiple of its current capacity above which a warming endpoint is
 *     overloaded
 * @param overloadWindowMillis the window over which the overload is measured
 * @param endpointCapacity the requests per second that one endpoint can serve
 * @param endpoints the usual number of endpoints
 * @param memoryMebibytes the memory limit of one proxy
 * @param descriptors the limit on open file descriptors of one proxy
 */
record Deployment(
    int instances,
    List<RequestKind> kinds,
    long drainGraceMillis,
    long slowStartMillis,
    double initialCapacity,
    double overloadMultiple,
    long overloadWindowMillis,
    double endpointCapacity,
    int endpoints,
    int memoryMebibytes,
    int descriptors) {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int CONNECT_TIMEOUT_MILLIS = 250;
  private static final int IDLE_MILLIS = 5000;
  private static final int MAX_ATTEMPTS = 5;
  private static final int MAX_RETRY_AFTER_MILLIS = 2000;

  /**
   * Returns a deployment with one request class for each effect. The deadlines are short compared
   * with the length of a run.
   */
  static Deployment of(int instances, int endpoints) {
    List<RequestKind> kinds =
        List.of(
            new RequestKind("read", RequestKind.Effect.IDEMPOTENT, 300, 800, 0),
            new RequestKind("publish", RequestKind.Effect.AT_MOST_ONCE, 600, 1600, 0),
            new RequestKind("edit", RequestKind.Effect.DEDUPLICATED, 600, 1400, 3000));
    return new Deployment(instances, kinds, 500, 10_000, 0.1, 2.5, 2000, 40, endpoints, 144, 384);
  }

  /** Returns a copy with another number of endpoints and another capacity of each. */
  Deployment withEndpoints(int count, double capacity) {
    return new Deployment(
        instances,
        kinds,
        drainGraceMillis,
        slowStartMillis,
        initialCapacity,
        overloadMultiple,
        overloadWindowMillis,
        capacity,
        count,
        memoryMebibytes,
        descriptors);
  }

  /** Returns a copy with another duration of slow start. */
  Deployment withSlowStartMillis(long millis) {
    return new Deployment(
        instances,
        kinds,
        drainGraceMillis,
        millis,
        initialCapacity,
        overloadMultiple,
        overloadWindowMillis,
        endpointCapacity,
        endpoints,
        memoryMebibytes,
        descriptors);
  }

  RequestKind requestKind(String name) {
    return kinds.stream().filter(kind -> kind.name().equals(name)).findFirst().orElseThrow();
  }

  long longestDeadlineMillis() {
    return kinds.stream().mapToLong(RequestKind::deadlineMillis).max().orElseThrow();
  }

  /**
   * Returns the configuration of one proxy, in the format of its configuration file.
   *
   * @param index the index of the proxy, from 0
   * @param known the endpoint list that the proxy starts with
   * @param seed the seed of the proxy's random numbers
   */
  ObjectNode configuration(
      int index, String listen, String discovery, ObjectNode known, long seed) {
    ObjectNode config = JSON.createObjectNode();
    config.put("name", "n" + index);
    config.put("listen", listen);
    config.put("discovery", discovery);
    config.put("seed", Long.toHexString(seed));
    ObjectNode limits = config.putObject("limits");
    limits.put("cores", 1.0);
    limits.put("memory_mb", memoryMebibytes);
    limits.put("sockets", descriptors);
    config.set("known", known);
    config.set("settings", settings(index));
    return config;
  }

  private ObjectNode settings(int index) {
    ObjectNode settings = JSON.createObjectNode();
    settings.put("me", index);
    settings.put("group-size", instances);
    settings.put("zone", "a");
    settings.put("registry-mode", "pushed");
    ArrayNode categories = settings.putArray("categories");
    kinds.forEach(kind -> categories.add(category(kind)));
    ObjectNode tenant = settings.putArray("projects").addObject();
    tenant.put("name", "all").put("portion", 1.0);
    tenant.put("quota-per-s", endpointCapacity * endpoints);
    settings.putObject("domain").put("warm-keys", true);
    ObjectNode limits = settings.putObject("limits");
    limits.put("cancel", true).put("probing", true).put("second-copies", true);
    limits.put("retry-after", true).put("max-retry-after-ns", nanos(MAX_RETRY_AFTER_MILLIS));
    limits.put("max-attempts", MAX_ATTEMPTS);
    limits.put("connect-timeout-ns", nanos(CONNECT_TIMEOUT_MILLIS));
    limits.put("conn-idle-ns", nanos(IDLE_MILLIS));
    ObjectNode contract = settings.putObject("contract");
    contract.put("drain-grace-ns", nanos(drainGraceMillis));
    contract.put("cold-from", initialCapacity);
    contract.put("warm-within-ns", nanos(slowStartMillis));
    contract.put("fall-multiple", overloadMultiple);
    contract.put("overload-for-ns", nanos(overloadWindowMillis));
    return settings;
  }

  private static ObjectNode category(RequestKind kind) {
    ObjectNode category = JSON.createObjectNode();
    category.put("name", kind.name());
    category.put("effect", kind.effect().wireName());
    category.put("dedup-scope", "all");
    category.put("window-ns", nanos(kind.dedupWindowMillis()));
    category.put("aim-ns", nanos(kind.objectiveMillis()));
    category.put("deadline-ns", nanos(kind.deadlineMillis()));
    return category;
  }

  private static long nanos(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }
}
