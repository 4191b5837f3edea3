package loadbalancer.decision;

import loadbalancer.decision.api.ServiceContract;
import loadbalancer.decision.api.Tenant;

/**
 * Limits the attempts that endpoints get while they warm up. Owns their budgets, the baseline rate
 * of attempts at an endpoint, and the minimum of that rate while it cannot be observed.
 */
final class SlowStart {

  private static final double OVERLOAD_PART = 0.48; // of the contract's multiple: random margin
  private static final double BURST_PART = 0.25; // of the attempts allowed in the window

  // Attempts a second that all instances together send to a warming endpoint at least. Without it,
  // a fleet whose endpoints all warm up at the same time would get none.
  private static final double MIN_RATE = 0.5;

  // With a larger fraction of the ready endpoints warming up, the observed rate reflects their
  // budgets instead of the demand.
  private static final double MAX_WARMING_PART = 0.5;

  private final DecisionContext context;
  private final ServiceContract contract;
  private final double quotaRate; // requests a second of this instance by all quotas; 0 for none
  private final DecayingRate usualRate = new DecayingRate(); // of attempts at one ready endpoint
  private double leastUsualRate; // 0 while the rate can be observed

  SlowStart(DecisionContext context) {
    this.context = context;
    contract = context.settings.contract();
    double quotas = 0;
    for (Tenant tenant : context.settings.tenants()) {
      quotas += tenant.quotaPerSecond();
    }
    quotaRate = quotas / context.settings.instanceCount();
  }

  /**
   * Sets the minimum of the baseline rate: 0 while few of the ready endpoints are warming up, else
   * the rate that the quotas imply, because the observed rate is too low.
   */
  void onSweep(TrackedEndpoint[] ready) {
    int warming = 0;
    for (TrackedEndpoint endpoint : ready) {
      warming += warmingFraction(endpoint) < 1 ? 1 : 0;
    }
    boolean few = warming <= MAX_WARMING_PART * ready.length;
    leastUsualRate = few ? 0 : quotaRate / ready.length;
  }

  /**
   * Returns the fraction of its capacity that an endpoint surely has. It grows linearly from the
   * initial capacity at the endpoint's start to 1 at the end of its slow start.
   */
  double warmingFraction(TrackedEndpoint endpoint) {
    long age = Math.max(0, context.now - endpoint.startedAt);
    double part = age / (double) Math.max(1, contract.slowStartNanos());
    boolean warm = endpoint.startedAt <= 0 || part >= 1;
    return warm ? 1 : contract.initialCapacity() * (1 - part) + part;
  }

  /** Returns whether an endpoint may get an attempt; a warming one needs a token of its budget. */
  boolean hasBudget(TrackedEndpoint endpoint) {
    double warming = warmingFraction(endpoint);
    if (warming >= 1) {
      return true;
    }
    double multiple = OVERLOAD_PART * contract.overloadMultiple() * warming;
    double observed = usualRate.perSecond(context.now, (double) context.windowNanos);
    double usual = Math.max(leastUsualRate, observed);
    double rate = Math.max(MIN_RATE / context.settings.instanceCount(), multiple * usual);
    double inWindow = rate * contract.overloadWindowNanos() / DecisionContext.SECOND_NANOS;
    double burst = Math.max(1, inWindow * BURST_PART);
    return endpoint.slowStartBudget.fill(context.now, rate, burst) >= 1;
  }

  void onAttemptStarted(TrackedEndpoint endpoint, int readyCount) {
    endpoint.slowStartBudget.tokens -= warmingFraction(endpoint) < 1 ? 1 : 0;
    usualRate.add(context.now, 1.0 / Math.max(1, readyCount));
  }

  void onNewIncarnation(TrackedEndpoint endpoint) {
    // Starts with a random part of a token: if the budgets of many instances all started at 0, the
    // endpoint would stay idle until they all sent their first attempt at the same time.
    endpoint.slowStartBudget.tokens = context.random.nextDouble();
    endpoint.slowStartBudget.filledAt = context.now;
  }
}
