package loadbalancer.decision.api;

/**
 * A tenant.
 *
 * @param name unique among the tenants
 * @param share the part of the traffic that is expected from it, not negative
 * @param quotaPerSecond requests a second over all instances; 0 where no quota is stated
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
