package loadbalancer.discovery;

/** Where the endpoint list comes from. Updates and failures are reported to the source's owner. */
public interface EndpointSource {

  /** Subscribes to changes of the list, anew if there is a subscription, or ends it. */
  void watch(boolean enabled);

  /** Fetches the complete list once. */
  void fetch();
}
