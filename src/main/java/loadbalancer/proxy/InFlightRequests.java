package loadbalancer.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests in flight: those without a final response, and those with an attempt in flight.
 * Confined to the event loop.
 */
final class InFlightRequests {

  private final Map<String, ProxiedRequest> byId = new HashMap<>();

  /** The same requests by the trace ids that their clients assigned. */
  private final Map<String, ProxiedRequest> byTraceId = new HashMap<>();

  void add(ProxiedRequest request) {
    byId.put(request.id(), request);
    byTraceId.put(request.traceId(), request);
  }

  /** Returns the request with an id; null if none is in flight. */
  ProxiedRequest find(String id) {
    return byId.get(id);
  }

  /** Returns the request with a trace id; null if none is in flight. */
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

  /**
   * Returns a copy of the requests in flight, so that requests may be removed during an iteration.
   */
  List<ProxiedRequest> all() {
    return List.copyOf(byId.values());
  }

  /**
   * Removes a request if it is completed and all its attempts have ended; a no-op for an unknown
   * id.
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
