package loadbalancer.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Locale;

/**
 * An entry of the endpoint list.
 *
 * @param id the endpoint's name, the same for all its incarnations
 * @param address the address that it listens on, as host:port
 * @param phase the phase of its life, which determines whether it takes new requests
 * @param startedUnixMillis the start of this incarnation; 0 if it started long ago
 */
record EndpointEntry(String id, String address, Phase phase, long startedUnixMillis) {

  /** The phases of an endpoint's life that discovery names. */
  enum Phase {
    /** It takes requests. */
    READY,
    /** It finishes its requests in flight and takes no new ones. */
    DRAINING,
    /** It has been removed. */
    GONE
  }

  EndpointEntry withPhase(Phase next) {
    return new EndpointEntry(id, address, next, startedUnixMillis);
  }

  void writeTo(ObjectNode member) {
    member.put("id", id).put("host_port", address).put("locality", "a").put("flavor", "m");
    member.put("cell", 0).put("phase", phase.name().toLowerCase(Locale.ROOT));
    member.put("size", 1.0).put("up_since_ms", startedUnixMillis);
  }
}
