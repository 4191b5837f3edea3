package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Log of all attempts that reached an upstream, by trace id. Thread-safe. */
final class AttemptLog {

  private final Map<String, List<Attempt>> attempts = new ConcurrentHashMap<>();

  void add(Attempt attempt) {
    attempts.compute(
        attempt.traceId(),
        (traceId, before) -> {
          List<Attempt> all = before == null ? new ArrayList<>(1) : new ArrayList<>(before);
          all.add(attempt);
          return all;
        });
  }

  /** Returns the attempts of a request, in the order of their last bytes. */
  List<Attempt> of(String traceId) {
    return attempts.getOrDefault(traceId, List.of());
  }

  Collection<List<Attempt>> all() {
    return attempts.values();
  }
}
