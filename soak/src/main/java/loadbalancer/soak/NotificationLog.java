package loadbalancer.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Log of the times from which each proxy counts as notified of each change of the endpoint list.
 * Thread-safe.
 */
final class NotificationLog {

  /** A change of the list, with the time from which a proxy counts as notified of it. */
  record Notification(EndpointEntry entry, long fromNanos) {}

  private final Map<Integer, List<Notification>> byProxy = new ConcurrentHashMap<>();

  void add(int proxy, EndpointEntry entry, long fromNanos) {
    byProxy.compute(
        proxy,
        (index, before) -> {
          List<Notification> all = before == null ? new ArrayList<>() : new ArrayList<>(before);
          all.add(new Notification(entry, fromNanos));
          return all;
        });
  }

  List<Notification> of(int proxy) {
    return byProxy.getOrDefault(proxy, List.of());
  }

  /**
   * Returns the time from which a proxy counts as notified that an incarnation of an endpoint takes
   * no new requests, or {@link Long#MAX_VALUE} if it was not notified.
   */
  long drainKnownFromNanos(int proxy, String endpoint, long startedUnixMillis) {
    long first = Long.MAX_VALUE;
    for (Notification notification : of(proxy)) {
      EndpointEntry entry = notification.entry();
      if (entry.id().equals(endpoint)
          && entry.startedUnixMillis() == startedUnixMillis
          && entry.phase() != EndpointEntry.Phase.READY) {
        first = Math.min(first, notification.fromNanos());
      }
    }
    return first;
  }

  /**
   * Returns the time from which a proxy counts as notified of the start of an incarnation, or
   * {@link Long#MAX_VALUE} if it was not notified.
   */
  long startKnownFromNanos(int proxy, String endpoint, long startedUnixMillis) {
    long first = Long.MAX_VALUE;
    for (Notification notification : of(proxy)) {
      EndpointEntry entry = notification.entry();
      if (entry.id().equals(endpoint) && entry.startedUnixMillis() == startedUnixMillis) {
        first = Math.min(first, notification.fromNanos());
      }
    }
    return first;
  }
}
