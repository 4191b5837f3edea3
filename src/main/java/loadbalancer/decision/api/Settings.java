package loadbalancer.decision.api;

import java.util.List;

/**
 * The settings of one load balancer instance, fixed for the life of its engine.
 *
 * @param instanceIndex this instance's number within its group
 * @param instanceCount the number of instances in the group, above 0
 * @param zone the zone this instance runs in
 * @param classes the classes of requests, at least one
 * @param tenants the tenants, possibly none
 * @param limits the limits and optional features of the deployment
 * @param contract the requirements of the platform
 * @param prices the costs of resources
 * @param polledDiscovery whether the endpoint list is polled instead of pushed
 * @param weightKind the meaning of the endpoints' weights
 * @param overQuotaWeight the fraction of its priority weight that a request over its tenant's quota
 *     keeps
 * @param keyAffinity whether an endpoint is faster at affinity keys that it has served before
 * @param tickNanos the longest delay between an action and its execution, not negative
 */
public record Settings(
    int instanceIndex,
    int instanceCount,
    String zone,
    List<RequestClass> classes,
    List<Tenant> tenants,
    Limits limits,
    ServiceContract contract,
    Prices prices,
    boolean polledDiscovery,
    WeightKind weightKind,
    double overQuotaWeight,
    boolean keyAffinity,
    long tickNanos) {

  /**
   * Validates the settings.
   *
   * @throws IllegalArgumentException if a value is out of range; the message names the setting
   */
  public Settings {
    check(instanceCount > 0, "group size must be above 0");
    check(!classes.isEmpty(), "classes must not be empty");
    for (RequestClass type : classes) {
      checkClass(type);
    }
    for (Tenant tenant : tenants) {
      check(
          tenant.share() >= 0 && tenant.quotaPerSecond() >= 0,
          "share and quota of tenant " + tenant.name() + " must not be negative");
    }
    check(limits.maxAttempts() > 0, "max attempts must be above 0");
    check(limits.maxInFlightRequests() > 0, "max in-flight must be above 0");
    check(limits.maxRetryAfterNanos() >= 0, "max retry-after must not be negative");
    checkContract(contract);
    check(tickNanos >= 0, "tick must not be negative");
  }

  private static void checkClass(RequestClass type) {
    String name = type.name();
    check(type.latencyObjectiveNanos() > 0, "aim of class " + name + " must be above 0");
    check(type.deadlineNanos() > 0, "deadline of class " + name + " must be above 0");
    check(type.dedupWindowNanos() >= 0, "dedup window of class " + name + " must not be negative");
    check(
        type.priorityWeight() >= 0 && type.lateWeight() >= 0,
        "weights of class " + name + " must not be negative");
  }

  private static void checkContract(ServiceContract contract) {
    check(contract.responseSlackNanos() >= 0, "response slack must not be negative");
    check(contract.maxPollIntervalNanos() >= 0, "poll interval must not be negative");
    check(contract.drainGraceNanos() >= 0, "drain grace must not be negative");
    check(
        contract.initialCapacity() > 0 && contract.initialCapacity() <= 1,
        "cold-from must be above 0 and at most 1");
    check(contract.slowStartNanos() >= 0, "slow start must not be negative");
    check(
        contract.overloadMultiple() > 0 && contract.overloadWindowNanos() >= 0,
        "overload multiple must be above 0, overload window not negative");
  }

  private static void check(boolean isValid, String problem) {
    if (!isValid) {
      throw new IllegalArgumentException("settings: " + problem);
    }
  }
}
