package loadbalancer.discovery;

import loadbalancer.net.SocketAddresses;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.json.JsonFields;
import loadbalancer.decision.api.EndpointState;

/** A list of upstreams, or changes to one, in discovery's form. */
public record EndpointList(long revision, boolean complete, List<Member> members) {

  public static final EndpointList NONE = new EndpointList(0, true, List.of());

  private static final Map<String, EndpointState> PHASE =
      Map.of("ready", EndpointState.READY, "draining", EndpointState.DRAINING, "gone", EndpointState.GONE);

  /** One upstream; {@code upSinceMillis} is 0 for long ago. */
  public record Member(String id, SocketAddress address, String zone, int cell, EndpointState state, double size,
      long upSinceMillis) {}

  public static EndpointList parse(JsonFields f) {
    List<Member> members = new ArrayList<>();
    for (JsonFields m : f.objects("members")) {
      members.add(new Member(m.text("id"), SocketAddresses.parse("host_port", m.text("host_port")), m.text("locality", ""),
          (int) m.integer("cell", 0), m.word("phase", PHASE), m.number("size", 1), m.integer("up_since_ms", 0)));
    }
    return new EndpointList(f.integer("revision", 0), f.bool("complete", false), members);
  }
}
