package loadbalancer.discovery;

/** Where the endpoint list comes from. */
public interface EndpointSource {

  /** Subscribes to changes of the list, or ends the subscription. */
  void watch(boolean enabled);

  /** Fetches the complete list once. */
  void fetch();
}
