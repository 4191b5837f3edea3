package loadbalancer.simulator;

import java.util.List;

/**
 * What a {@link ScenarioPlayer} plays to the decision engine: settings (the wire's boot-info), a
 * model of clients and endpoints, and incidents at set times. Equal scenarios give equal events as
 * long as the engine gives equal actions.
 */
record DecisionScenario(
    String name,
    long seed,
    String settings,
    Traffic traffic,
    List<Incident> incidents,
    int maxBatches,
    int maxEvents) {

  /** A second in nanoseconds. */
  static final long SECOND_NANOS = 1_000_000_000L;

  /** A millisecond in nanoseconds. */
  static final long MILLISECOND_NANOS = 1_000_000L;

  /** The clock reading at which every scenario begins. */
  static final long START_NANOS = 10 * SECOND_NANOS;

  /**
   * The clients and the endpoints.
   *
   * @param requestsPerSecond the mean rate of first tries
   * @param keys the number of keys, of which the first are asked for most; 0 for requests without
   * @param workHintNanos the usual work hint; 0 for requests without
   * @param endpoints how many the list has at first
   * @param zones over how many zones they are spread
   * @param workersPerEndpoint requests that an endpoint serves at once; others wait
   * @param serviceTimeNanos the mean service time
   * @param disconnectShare the part of clients that disconnect early
   * @param shortDeadlineShare the part of clients that wait for less than the class's deadline
   * @param tickNanos the time between batches
   */
  record Traffic(
      double requestsPerSecond,
      int keys,
      long workHintNanos,
      int endpoints,
      int zones,
      int workersPerEndpoint,
      long serviceTimeNanos,
      double disconnectShare,
      double shortDeadlineShare,
      long tickNanos) {}

  /** Something that happens to an endpoint, to all of them, to the list or to the traffic. */
  record Incident(double second, IncidentKind kind, int endpoint) {

    /** The number in place of an endpoint's that stands for all of them. */
    static final int ALL_ENDPOINTS = -1;

    long atNanos() {
      return START_NANOS + (long) (second * SECOND_NANOS);
    }
  }

  /** The kinds of incidents. */
  enum IncidentKind {
    /** Answers as usual again. */
    HEALTHY,
    /** Takes many times the usual time. */
    SLOW,
    /** Answers with errors at once. */
    FAILING,
    /** Answers half of the requests with errors. */
    UNSTABLE,
    /** Turns requests away. */
    REFUSING,
    /** Accepts requests and never answers. */
    HANGING,
    /** Takes no connections. */
    UNREACHABLE,
    /** Breaks connections. */
    RESETTING,
    /** Starts anew and is listed as just started. */
    RESTART,
    /** Is listed as draining. */
    DRAIN,
    /** Leaves the list. */
    REMOVE,
    /** Is listed as ready again, not restarted. */
    RETURN,
    /** The complete list is sent. */
    FULL_LIST,
    /** The subscription to the list breaks; two calls fail before it comes back. */
    LIST_FAILURE,
    /** Four times as many requests come. */
    CROWD,
    /** As many requests as usual come again. */
    CALM
  }
}
