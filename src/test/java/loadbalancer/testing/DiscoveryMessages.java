package loadbalancer.testing;

import java.util.List;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.net.MonotonicClock;

/** What a discovery agent sends, and the endpoint ids that its names get. */
public final class DiscoveryMessages {

  private DiscoveryMessages() {}

  /** The head of a watch's response with its first line; further lines are chunks of their own. */
  public static String watchResponse(String line) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line);
  }

  /** A further line of a watch, as one chunk. */
  public static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }

  /** The id that the decision engine knows an endpoint by, from its name on the list. */
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
