package loadbalancer.decision;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.Tenant;

/** Says which requests exceed their tenant's quota. Owns this instance's parts of the quotas. */
final class TenantQuotas {

  private static final double BURST_SECONDS = 1; // of a quota's rate
  private static final double MIN_BURST = 10; // requests: chance exceeds a small part of a quota

  private final DecisionContext context;
  private final KeyedWindows windows;
  private final Map<String, Double> rates = new HashMap<>(); // even parts, in requests a second
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

  /** Counts a request of a tenant that has a quota, and says whether it exceeds that. */
  boolean exceeds(String tenant) {
    windows.get(tenant).add(context.now, Metric.OFFERED, 1);
    TokenBucket bucket = buckets.computeIfAbsent(tenant, k -> new TokenBucket());
    double rate = rates.get(tenant) * carriedTraffic(tenant);
    boolean over = bucket.fill(context.now, rate, Math.max(MIN_BURST, rate * BURST_SECONDS)) < 1;
    bucket.tokens -= over ? 0 : 1;
    return over;
  }

  // How many times its even part of the traffic this instance carries, by the median of what other
  // tenants surely ask for here: more than 1 where clients prefer it or other instances are down.
  private double carriedTraffic(String tenant) {
    double[] multiples = new double[rates.size()];
    int others = 0;
    for (Map.Entry<String, Double> rate : rates.entrySet()) {
      if (!rate.getKey().equals(tenant)) {
        double asked = windows.get(rate.getKey()).lowRate(context.now, Metric.OFFERED);
        multiples[others++] = asked / rate.getValue();
      }
    }
    Arrays.sort(multiples, 0, others);
    return others == 0 ? 1 : Math.max(1, multiples[(others - 1) / 2]);
  }
}
