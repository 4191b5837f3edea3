package loadbalancer.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.Tenant;

/** Decides which requests exceed their tenant's quota. Owns this instance's shares of quotas. */
final class TenantQuotas {

  private static final double BURST_SECONDS = 1; // of a quota's rate
  private static final double MIN_BURST = 10; // requests: random bursts exceed a small share

  private final DecisionContext context;
  private final KeyedWindows windows;
  private final Map<String, Double> rates = new HashMap<>(); // even shares, in requests a second
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  TenantQuotas(DecisionContext context, KeyedWindows windows) {
    this.context = context;
    this.windows = windows;
    for (Tenant tenant : context.settings.tenants()) {
      if (tenant.quotaPerSecond() > 0) {
        rates.put(tenant.name(), tenant.quotaPerSecond() / context.settings.instanceCount());
      }
    }
  }

  boolean hasQuota(String tenant) {
    return rates.containsKey(tenant);
  }

  /** Counts a request of a tenant that has a quota and returns whether it exceeds the quota. */
  boolean recordAndCheckExceeded(String tenant) {
    windows.get(tenant).add(context.now, Metric.OFFERED, 1);
    TokenBucket bucket = buckets.computeIfAbsent(tenant, k -> new TokenBucket());
    double rate = rates.get(tenant) * trafficMultiple(tenant);
    boolean isOverQuota =
        bucket.refill(context.now, rate, Math.max(MIN_BURST, rate * BURST_SECONDS)) < 1;
    bucket.tokens -= isOverQuota ? 0 : 1;
    return isOverQuota;
  }

  // Returns the traffic of this instance as a multiple of its even share: the median over the other
  // tenants, from low estimates of their rates, and at least 1. It exceeds 1 if clients prefer this
  // instance or other instances are down.
  private double trafficMultiple(String tenant) {
    double[] multiples = new double[rates.size()];
    int otherCount = 0;
    for (Map.Entry<String, Double> rate : rates.entrySet()) {
      if (!rate.getKey().equals(tenant)) {
        double offeredRate = windows.get(rate.getKey()).rateLowerBound(context.now, Metric.OFFERED);
        multiples[otherCount++] = offeredRate / rate.getValue();
      }
    }
    Arrays.sort(multiples, 0, otherCount);
    return otherCount == 0 ? 1 : Math.max(1, multiples[(otherCount - 1) / 2]);
  }
}
