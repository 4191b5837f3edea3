package loadbalancer.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests in flight: those without a final response, and those of which an attempt is still in
 * flight. Confined to the event loop.
 */
final class InFlightRequests {

  private final Map<String, ProxiedRequest> byId = new HashMap<>();

  /** The same requests by the ids that their clients gave them. */
  private final Map<String, ProxiedRequest> byTraceId = new HashMap<>();

  void add(ProxiedRequest request) {
    byId.put(request.id(), request);
    byTraceId.put(request.traceId(), request);
  }

  /** The request with this id; null where none is in flight. */
  ProxiedRequest find(String id) {
    return byId.get(id);
  }

  /** The request with this trace id; null where none is in flight. */
  ProxiedRequest findByTraceId(String traceId) {
    return byTraceId.get(traceId);
  }

  boolean contains(ProxiedRequest request) {
    return byId.get(request.id()) == request;
  }

  boolean containsTraceId(String traceId) {
    return byTraceId.containsKey(traceId);
  }

  int size() {
    return byId.size();
  }

  /** A copy, so that requests may be removed meanwhile. */
  List<ProxiedRequest> all() {
    return List.copyOf(byId.values());
  }

  /**
   * Removes a request, if it is still there, once it is completed and all its attempts have ended.
   */
  void removeIfFinished(String id) {
    ProxiedRequest request = byId.get(id);
    if (request != null && request.isCompleted() && !request.hasAttemptsInFlight()) {
      byId.remove(id);
      byTraceId.remove(request.traceId());
    }
  }

  void clear() {
    byId.clear();
    byTraceId.clear();
  }
}
