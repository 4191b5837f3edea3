package loadbalancer.testing;

import java.util.List;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.net.MonotonicClock;

/** Messages of a discovery agent, and the endpoint ids that its names are mapped to. */
public final class DiscoveryMessages {

  private DiscoveryMessages() {}

  /**
   * Returns the head of a watch's response and its first line; each further line is a {@link
   * #chunk}.
   */
  public static String watchResponse(String line) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line);
  }

  /** Returns a further line of a watch, as one chunk. */
  public static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }

  /** Returns the id by which the decision engine knows the endpoint of this name. */
  public static long endpointId(String name) {
    EndpointList.Member member =
        new EndpointList.Member(name, null, "a", 0, EndpointState.READY, 1, 0);
    EndpointList list = new EndpointList(1, true, List.of(member));
    return new EndpointDirectory(new MonotonicClock())
        .apply(UpdateKind.FULL, list)
        .endpoints()
        .get(0)
        .id();
  }
}
