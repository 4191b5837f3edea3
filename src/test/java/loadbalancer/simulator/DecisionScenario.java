package loadbalancer.simulator;

import java.util.List;

/**
 * The input of a {@link ScenarioPlayer}: settings of the decision engine (boot-info in the
 * simulator's protocol), a model of clients and endpoints, and incidents at fixed times. Equal
 * scenarios yield equal events as long as the engine yields equal actions.
 */
record DecisionScenario(
    String name,
    long seed,
    String settings,
    Traffic traffic,
    List<Incident> incidents,
    int maxBatches,
    int maxEvents) {

  static final long SECOND_NANOS = 1_000_000_000L;
  static final long MILLISECOND_NANOS = 1_000_000L;

  /** The clock reading at which every scenario starts. */
  static final long START_NANOS = 10 * SECOND_NANOS;

  /**
   * The model of clients and endpoints.
   *
   * @param requestsPerSecond the mean rate of new requests, without retries
   * @param keys the number of affinity keys, of which the first are the most frequent; 0 for
   *     requests without a key
   * @param workHintNanos the usual work hint; 0 for requests without a hint
   * @param endpoints the number of endpoints that are listed at the start
   * @param zones the number of zones over which the endpoints are spread
   * @param workersPerEndpoint the number of requests that an endpoint serves at once; others are
   *     queued
   * @param serviceTimeNanos the mean service time
   * @param disconnectShare the share of requests whose client disconnects early
   * @param shortDeadlineShare the share of requests with an eighth of their class's deadline
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

  /** An event that affects one endpoint, all endpoints, the endpoint list or the request rate. */
  record Incident(double second, IncidentKind kind, int endpoint) {

    /** The value of {@code endpoint} that stands for all endpoints. */
    static final int ALL_ENDPOINTS = -1;

    long atNanos() {
      return START_NANOS + (long) (second * SECOND_NANOS);
    }
  }

  /** The kinds of incidents. */
  enum IncidentKind {
    /** The endpoint responds normally again. */
    HEALTHY,
    /** The endpoint takes six times as long to respond. */
    SLOW,
    /** The endpoint responds with errors at once. */
    FAILING,
    /** The endpoint responds to half of the requests with errors. */
    UNSTABLE,
    /** The endpoint rejects requests. */
    REFUSING,
    /** The endpoint accepts requests and never responds. */
    HANGING,
    /** The endpoint accepts no connections. */
    UNREACHABLE,
    /** The endpoint resets connections. */
    RESETTING,
    /** The endpoint restarts, responds normally and is listed with its new start time. */
    RESTART,
    /** The endpoint is listed as draining. */
    DRAIN,
    /** The endpoint is listed as removed. */
    REMOVE,
    /** The endpoint is listed as ready again without a restart. */
    RETURN,
    /** The complete endpoint list is sent if it is watched. */
    FULL_LIST,
    /**
     * The watch of the endpoint list fails if the list is polled, and so do the next two attempts
     * to watch it.
     */
    LIST_FAILURE,
    /** The request rate is four times the usual one. */
    CROWD,
    /** The request rate returns to the usual one. */
    CALM
  }
}
