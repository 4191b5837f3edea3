package loadbalancer.decision;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.RequestClass;

/** Says what a request counts as. Owns the windows by key, the quotas and the mean work hint. */
final class RequestClassifier {

  private static final double MEAN_STEP = 0.005; // of the mean hint: over some 200 requests
  private static final double MAX_HINT = 20; // means: an absurd hint would make all others light
  private static final double MAX_LOAD = 4; // mean requests; the least is the inverse

  final KeyedWindows windows;
  private final DecisionContext context;
  private final TenantQuotas quotas;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private double meanHint; // nanoseconds; 0 before the first

  RequestClassifier(DecisionContext context) {
    this.context = context;
    windows = new KeyedWindows(context);
    quotas = new TenantQuotas(context, windows);
    context.settings.classes().forEach(type -> classes.put(type.name(), type));
  }

  /** Counts a request against its quota; throws IllegalArgumentException on an unknown class. */
  InFlightRequest classify(Event.RequestArrived arrival) {
    RequestClass type = classes.get(arrival.className());
    if (type == null) {
      throw new IllegalArgumentException("request of unknown class " + arrival.className());
    }
    InFlightRequest request = new InFlightRequest(arrival, type, context.now);
    request.hasQuota = quotas.hasQuota(arrival.tenant());
    boolean over = request.hasQuota && quotas.exceeds(arrival.tenant());
    request.overQuota = over;
    request.priority = type.priorityWeight() * (over ? context.settings.overQuotaWeight() : 1);
    String route = arrival.className() + ' ' + arrival.tenant() + (over ? " over" : "");
    request.keyWindow = windows.get(route + ' ' + arrival.affinityKey());
    request.routeWindow = windows.get(route);
    request.load = arrival.workHintNanos() > 0 ? load(arrival.workHintNanos()) : 1;
    return request;
  }

  // By the hint: a few heavy requests fill an endpoint that a count calls half empty.
  private double load(long hint) {
    meanHint +=
        meanHint == 0
            ? Math.min(hint, context.shortestObjectiveNanos)
            : (Math.min((double) hint, MAX_HINT * meanHint) - meanHint) * MEAN_STEP;
    return Math.min(MAX_LOAD, Math.max(1 / MAX_LOAD, hint / meanHint));
  }
}
