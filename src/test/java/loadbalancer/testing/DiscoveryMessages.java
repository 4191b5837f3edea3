package loadbalancer.testing;

import java.util.List;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.net.MonotonicClock;

/** What discovery says, and the numbers that its names get. */
public final class DiscoveryMessages {

  private DiscoveryMessages() {}

  /** The start of a watch with its first line; further ones are chunks of their own. */
  public static String watch(String line) {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line);
  }

  public static String chunk(String line) {
    return Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
  }

  /** The module's number of an upstream. */
  public static long number(String id) {
    EndpointList.Member server = new EndpointList.Member(id, null, "a", 0, EndpointState.READY, 1, 0);
    return new EndpointDirectory(new MonotonicClock()).apply(UpdateKind.FULL, new EndpointList(1, true, List.of(server)))
        .endpoints().get(0).id();
  }
}
