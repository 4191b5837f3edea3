package loadbalancer.discovery;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.json.JsonFields;
import loadbalancer.net.SocketAddresses;

/** Parses endpoint lists in the JSON format that discovery and the configuration file share. */
public final class EndpointListParser {

  private static final Map<String, EndpointState> PHASES =
      Map.of(
          "ready", EndpointState.READY,
          "draining", EndpointState.DRAINING,
          "gone", EndpointState.GONE);

  private EndpointListParser() {}

  /**
   * Parses a list and skips unknown fields.
   *
   * @throws loadbalancer.json.MalformedInputException if a required field is missing or a field has
   *     the wrong type or an invalid value
   */
  public static EndpointList parse(JsonFields list) {
    List<EndpointList.Member> members = new ArrayList<>();
    for (JsonFields member : list.objects("members")) {
      members.add(parseMember(member));
    }
    return new EndpointList(list.integer("revision", 0), list.bool("complete", false), members);
  }

  private static EndpointList.Member parseMember(JsonFields member) {
    return new EndpointList.Member(
        member.text("id"),
        SocketAddresses.parse("host_port", member.text("host_port")),
        member.text("locality", ""),
        (int) member.integer("cell", 0),
        member.constant("phase", PHASES),
        member.number("size", 1),
        member.integer("up_since_ms", 0));
  }
}
