package loadbalancer.discovery;

/** A source of the endpoint list, which reports updates and failures to its owner. */
public interface EndpointSource {

  /**
   * Starts or ends a watch on the list. Starting replaces a watch that is already open.
   *
   * @param enabled true to start a watch, false to end it
   */
  void watch(boolean enabled);

  /** Fetches the complete list once. */
  void fetch();
}
