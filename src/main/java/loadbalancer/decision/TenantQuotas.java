package loadbalancer.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.Tenant;

/** Decides which requests exceed their tenant's quota. Owns this instance's shares of quotas. */
final class TenantQuotas {

  // Size of the token bucket in seconds of its rate, and its minimum in requests, because random
  // bursts exceed a small quota.
  private static final double BURST_SECONDS = 1;
  private static final double MIN_BURST = 10;

  private final DecisionContext context;
  private final KeyedWindows windows;

  // This instance's even shares of the quotas, in requests a second, by tenant.
  private final Map<String, Double> quotaRates = new HashMap<>();

  private final Map<String, TokenBucket> buckets = new HashMap<>();

  TenantQuotas(DecisionContext context, KeyedWindows windows) {
    this.context = context;
    this.windows = windows;
    for (Tenant tenant : context.settings.tenants()) {
      if (tenant.quotaPerSecond() > 0) {
        quotaRates.put(tenant.name(), tenant.quotaPerSecond() / context.settings.instanceCount());
      }
    }
  }

  boolean hasQuota(String tenant) {
    return quotaRates.containsKey(tenant);
  }

  /** Counts a request of a tenant that has a quota and returns whether it exceeds the quota. */
  boolean exceedsQuota(String tenant) {
    windows.get(tenant).add(context.now, Metric.OFFERED, 1);
    TokenBucket bucket = buckets.computeIfAbsent(tenant, k -> new TokenBucket());
    double rate = quotaRates.get(tenant) * trafficMultiple(tenant);
    boolean overQuota =
        bucket.refill(context.now, rate, Math.max(MIN_BURST, rate * BURST_SECONDS)) < 1;
    bucket.tokens -= overQuota ? 0 : 1;
    return overQuota;
  }

  // Returns the traffic of this instance as a multiple of its even share: the median over the other
  // tenants, from low estimates of their rates, and at least 1. It exceeds 1 if clients prefer this
  // instance or other instances are down.
  private double trafficMultiple(String tenant) {
    double[] multiples = new double[quotaRates.size()];
    int otherCount = 0;
    for (Map.Entry<String, Double> rate : quotaRates.entrySet()) {
      if (!rate.getKey().equals(tenant)) {
        double offeredRate = windows.get(rate.getKey()).rateLowerBound(context.now, Metric.OFFERED);
        multiples[otherCount++] = offeredRate / rate.getValue();
      }
    }
    Arrays.sort(multiples, 0, otherCount);
    return otherCount == 0 ? 1 : Math.max(1, multiples[(otherCount - 1) / 2]);
  }
}
