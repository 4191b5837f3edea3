package loadbalancer.decision;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.RequestClass;

/** Classifies arriving requests. Owns the keyed windows, the quotas and the mean work hint. */
final class RequestClassifier {

  private static final double MEAN_HINT_SMOOTHING = 0.005; // the mean covers about 200 hints

  // A hint counts as at most this multiple of the mean hint. Otherwise, one huge hint would raise
  // the mean so much that all other requests would count as light.
  private static final double MAX_HINT_MULTIPLE = 20;
  private static final double MAX_LOAD = 4; // in mean requests; the minimum is the inverse

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
    boolean overQuota = request.hasQuota && quotas.exceedsQuota(arrival.tenant());
    request.overQuota = overQuota;
    request.priority = type.priorityWeight() * (overQuota ? context.settings.overQuotaWeight() : 1);
    String route = arrival.className() + ' ' + arrival.tenant() + (overQuota ? " over" : "");
    request.keyWindow = windows.get(route + ' ' + arrival.affinityKey());
    request.routeWindow = windows.get(route);
    request.load = arrival.workHintNanos() > 0 ? loadByHint(arrival.workHintNanos()) : 1;
    return request;
  }

  // Returns a request's load as a multiple of the mean request's. It depends on the work hint,
  // because a few heavy requests fill an endpoint that seems half empty by their number.
  private double loadByHint(long hint) {
    meanHintNanos +=
        meanHintNanos == 0
            ? Math.min(hint, context.shortestObjectiveNanos)
            : (Math.min((double) hint, MAX_HINT_MULTIPLE * meanHintNanos) - meanHintNanos)
                * MEAN_HINT_SMOOTHING;
    return Math.min(MAX_LOAD, Math.max(1 / MAX_LOAD, hint / meanHintNanos));
  }
}
