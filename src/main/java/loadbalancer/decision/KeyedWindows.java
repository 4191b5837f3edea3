package loadbalancer.decision;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The windows of tenants, routes and affinity keys. Bounds their number and evicts idle ones. */
final class KeyedWindows {

  // Beyond it, the least recently used window is evicted.
  static final int DEFAULT_MAX_KEYS = 8_000;

  // Two checks suffice to evict idle windows, because a lookup adds at most one window.
  private static final int EVICTION_CHECKS_PER_LOOKUP = 2;

  private final DecisionContext context;
  private final Map<String, SlidingWindow> windows = new LinkedHashMap<>(64, 0.75f, true);

  KeyedWindows(DecisionContext context) {
    this.context = context;
  }

  SlidingWindow get(String key) {
    SlidingWindow window =
        windows.computeIfAbsent(key, k -> new SlidingWindow(context.windowNanos, context.now));
    Iterator<SlidingWindow> leastRecentFirst = windows.values().iterator();
    for (int i = 0; i < EVICTION_CHECKS_PER_LOOKUP && windows.size() > 1; i++) {
      // An idle window has the same totals as a new one, so its eviction changes no decision.
      if (!leastRecentFirst.next().isIdle(context.now)
          && windows.size() <= context.maxKeyedWindows) {
        break;
      }
      leastRecentFirst.remove();
    }
    return window;
  }

  int size() {
    return windows.size();
  }
}
