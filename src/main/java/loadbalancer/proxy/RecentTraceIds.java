package loadbalancer.proxy;

import java.util.LinkedHashMap;
import java.util.Map;

/** The most recently added trace ids, up to a limit. Confined to the event loop. */
final class RecentTraceIds {

  /** With the longest ids, so many take half a megabyte. */
  private static final int MAX_IDS = 2048;

  private final Map<String, Boolean> ids =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
          return size() > MAX_IDS;
        }
      };

  void add(String traceId) {
    ids.put(traceId, Boolean.TRUE);
  }

  boolean contains(String traceId) {
    return ids.containsKey(traceId);
  }
}
