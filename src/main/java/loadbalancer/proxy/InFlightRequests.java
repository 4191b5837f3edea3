package loadbalancer.proxy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.Idempotence;

/**
 * The requests in flight: those without a final response, and those with an attempt in flight. Also
 * the trace ids of recent ones that may have run and must not run again. Confined to the event
 * loop.
 */
final class InFlightRequests {

  private final Map<String, ProxiedRequest> byId = new HashMap<>();

  /** The same requests by the trace ids that their clients assigned. */
  private final Map<String, ProxiedRequest> byTraceId = new HashMap<>();

  /**
   * The trace ids of requests that may have run, of classes for which running twice is not
   * harmless.
   */
  private final RecentTraceIds mayHaveRun = new RecentTraceIds();

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

  /**
   * Returns whether a request with this trace id is in flight, or has been and must not run again.
   */
  boolean mustNotRunAgain(String traceId) {
    return byTraceId.containsKey(traceId) || mayHaveRun.contains(traceId);
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
      rememberIfItMayHaveRun(request);
    }
  }

  private void rememberIfItMayHaveRun(ProxiedRequest request) {
    if (request.mayHaveRun() && request.requestClass().idempotence() != Idempotence.IDEMPOTENT) {
      mayHaveRun.add(request.traceId());
    }
  }

  void clear() {
    byId.values().forEach(this::rememberIfItMayHaveRun);
    byId.clear();
    byTraceId.clear();
  }
}
