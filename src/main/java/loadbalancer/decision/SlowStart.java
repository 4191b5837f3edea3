package loadbalancer.decision;

import loadbalancer.decision.api.ServiceContract;
import loadbalancer.decision.api.Tenant;

/**
 * Limits the attempts that endpoints get while they warm up. Owns their budgets, the baseline rate
 * of attempts at an endpoint, and the minimum of that rate while it cannot be observed.
 */
final class SlowStart {

  private static final double OVERLOAD_FRACTION = 0.48; // safety margin to the contract's multiple
  private static final double BURST_FRACTION = 0.25; // of the attempts allowed in the window

  // Attempts a second that all instances together send to a warming endpoint at least. Without it,
  // a fleet whose endpoints all warm up at the same time would get none.
  private static final double MIN_RATE_PER_SECOND = 0.5;

  // With a larger fraction of the ready endpoints warming up, the observed rate reflects their
  // budgets instead of the demand.
  private static final double MAX_WARMING_FRACTION = 0.5;

  private final DecisionContext context;
  private final ServiceContract contract;
  private final double quotaRate; // requests a second of this instance by all quotas; 0 for none
  private final DecayingRate baselineRate = new DecayingRate(); // of attempts at one ready endpoint
  private double minBaselineRate; // 0 while the rate can be observed

  SlowStart(DecisionContext context) {
    this.context = context;
    contract = context.settings.contract();
    double quotaSum = 0;
    for (Tenant tenant : context.settings.tenants()) {
      quotaSum += tenant.quotaPerSecond();
    }
    quotaRate = quotaSum / context.settings.instanceCount();
  }

  /**
   * Sets the minimum of the baseline rate: 0 while few of the ready endpoints are warming up, else
   * the rate that the quotas imply, because the observed rate is too low.
   */
  void onSweep(TrackedEndpoint[] ready) {
    int warming = 0;
    for (TrackedEndpoint endpoint : ready) {
      warming += capacityFraction(endpoint) < 1 ? 1 : 0;
    }
    boolean isBaselineObservable = warming <= MAX_WARMING_FRACTION * ready.length;
    minBaselineRate = isBaselineObservable ? 0 : quotaRate / ready.length;
  }

  /**
   * Returns the fraction of its capacity that an endpoint surely has. It grows linearly from the
   * initial capacity at the endpoint's start to 1 at the end of its slow start.
   */
  double capacityFraction(TrackedEndpoint endpoint) {
    long age = Math.max(0, context.now - endpoint.startedAt);
    double progress = age / (double) Math.max(1, contract.slowStartNanos());
    boolean isWarm = endpoint.startedAt <= 0 || progress >= 1;
    return isWarm ? 1 : contract.initialCapacity() * (1 - progress) + progress;
  }

  /** Returns whether an endpoint may get an attempt; a warming one needs a token of its budget. */
  boolean hasBudget(TrackedEndpoint endpoint) {
    double fraction = capacityFraction(endpoint);
    if (fraction >= 1) {
      return true;
    }
    double multiple = OVERLOAD_FRACTION * contract.overloadMultiple() * fraction;
    double observed = baselineRate.perSecond(context.now, (double) context.windowNanos);
    double baseline = Math.max(minBaselineRate, observed);
    double rate =
        Math.max(MIN_RATE_PER_SECOND / context.settings.instanceCount(), multiple * baseline);
    double attemptsInWindow = rate * contract.overloadWindowNanos() / DecisionContext.SECOND_NANOS;
    double burst = Math.max(1, attemptsInWindow * BURST_FRACTION);
    return endpoint.slowStartBudget.refill(context.now, rate, burst) >= 1;
  }

  void onAttemptStarted(TrackedEndpoint endpoint, int readyCount) {
    endpoint.slowStartBudget.tokens -= capacityFraction(endpoint) < 1 ? 1 : 0;
    baselineRate.add(context.now, 1.0 / Math.max(1, readyCount));
  }

  void onNewIncarnation(TrackedEndpoint endpoint) {
    // Starts with a random part of a token: if the budgets of many instances all started at 0, the
    // endpoint would stay idle until they all sent their first attempt at the same time.
    endpoint.slowStartBudget.tokens = context.random.nextDouble();
    endpoint.slowStartBudget.refilledAt = context.now;
  }
}
