package loadbalancer.soak;

/**
 * A request class of the deployment under test.
 *
 * @param name the name of the class in the settings
 * @param effect the limit on how often a request may take effect
 * @param objectiveMillis the latency objective of responses
 * @param deadlineMillis the maximum time that a client waits
 * @param dedupWindowMillis the time for which upstreams recognise a repeated request; 0 if they do
 *     not
 */
record RequestKind(
    String name, Effect effect, long objectiveMillis, long deadlineMillis, long dedupWindowMillis) {

  /** The limit on how often a request may take effect, with its name in the settings. */
  enum Effect {
    /** It may run any number of times. */
    IDEMPOTENT("idempotent"),
    /** It may be repeated within the deduplication window, as upstreams recognise its key. */
    DEDUPLICATED("deduplicated"),
    /** It may run at most once. */
    AT_MOST_ONCE("at_most_once");

    private final String wireName;

    Effect(String wireName) {
      this.wireName = wireName;
    }

    String wireName() {
      return wireName;
    }
  }
}
