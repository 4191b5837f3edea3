package loadbalancer.decision.api;

/**
 * A tenant, whose requests share a quota.
 *
 * @param name the tenant's name, unique among the tenants
 * @param share the fraction of the traffic that is expected from it, not negative
 * @param quotaPerSecond the quota in requests a second over all instances; 0 for no quota
 */
public record Tenant(String name, double share, double quotaPerSecond) {}
