package loadbalancer.decision;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.RequestClass;

/** Classifies arriving requests. Owns the keyed windows, the quotas and the mean work hint. */
final class RequestClassifier {

  private static final double MEAN_HINT_SMOOTHING = 0.005; // weight of one hint: a mean of some 200
  private static final double MAX_HINT_MULTIPLE = 20; // of the mean hint: limits a huge hint
  private static final double MAX_LOAD = 4; // mean requests; the minimum is the inverse

  final KeyedWindows windows;
  private final DecisionContext context;
  private final TenantQuotas quotas;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private double meanHintNanos; // 0 before the first hint

  RequestClassifier(DecisionContext context) {
    this.context = context;
    windows = new KeyedWindows(context);
    quotas = new TenantQuotas(context, windows);
    context.settings.classes().forEach(type -> classes.put(type.name(), type));
  }

  /**
   * Classifies a request and counts it against its tenant's quota.
   *
   * @throws IllegalArgumentException if the settings have no such class
   */
  InFlightRequest classify(Event.RequestArrived arrival) {
    RequestClass type = classes.get(arrival.className());
    if (type == null) {
      throw new IllegalArgumentException("request of unknown class " + arrival.className());
    }
    InFlightRequest request = new InFlightRequest(arrival, type, context.now);
    request.hasQuota = quotas.hasQuota(arrival.tenant());
    boolean isOverQuota = request.hasQuota && quotas.recordAndCheckExceeded(arrival.tenant());
    request.isOverQuota = isOverQuota;
    request.priority =
        type.priorityWeight() * (isOverQuota ? context.settings.overQuotaWeight() : 1);
    String route = arrival.className() + ' ' + arrival.tenant() + (isOverQuota ? " over" : "");
    request.keyWindow = windows.get(route + ' ' + arrival.affinityKey());
    request.routeWindow = windows.get(route);
    request.load = arrival.workHintNanos() > 0 ? loadByHint(arrival.workHintNanos()) : 1;
    return request;
  }

  // Returns a request's load in mean requests. It depends on the work hint because a few heavy
  // requests fill an endpoint that seems half empty by their number.
  private double loadByHint(long hint) {
    meanHintNanos +=
        meanHintNanos == 0
            ? Math.min(hint, context.shortestObjectiveNanos)
            : (Math.min((double) hint, MAX_HINT_MULTIPLE * meanHintNanos) - meanHintNanos)
                * MEAN_HINT_SMOOTHING;
    return Math.min(MAX_LOAD, Math.max(1 / MAX_LOAD, hint / meanHintNanos));
  }
}
