package loadbalancer.discovery;

/** A source of the endpoint list, which reports updates and failures to its owner. */
public interface EndpointSource {

  /**
   * Starts or ends a watch on the list. Starting replaces an open watch unless it has received a
   * list.
   *
   * @param enabled true to start a watch, false to end it
   */
  void watch(boolean enabled);

  /** Fetches the complete list once. */
  void fetch();
}
