package loadbalancer.config;

import com.fasterxml.jackson.core.JsonFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointListParser;
import loadbalancer.json.JsonFields;
import loadbalancer.json.MalformedInputException;
import loadbalancer.net.SocketAddresses;

/** Parses the configuration of one instance; unknown fields are ignored. */
final class BalancerConfigParser {

  /** The descriptor limit if the file states none, which is the usual limit of a process. */
  private static final int DEFAULT_MAX_DESCRIPTORS = 1024;

  /** The memory limit if the file states none. */
  private static final int DEFAULT_MEMORY_MIB = 192;

  private static final int BYTES_PER_MIB_SHIFT = 20;

  /** The time after which endpoints close idle connections if the settings state none. */
  private static final long DEFAULT_IDLE_TIMEOUT_NANOS = 5_000_000_000L;

  private static final int SEED_RADIX = 16;
  private static final String NO_LOAD_REPORTS = "none";

  private final JsonFields fields;
  private final Map<String, String> environment;

  BalancerConfigParser(String text, Map<String, String> environment) {
    fields = JsonFields.parse(new JsonFactory(), "config", text);
    this.environment = environment;
  }

  BalancerConfig parse() {
    JsonFields limits = fields.objectOrEmpty("limits");
    JsonFields settings = fields.object("settings");
    return new BalancerConfig(
        textOrVariable("name", "ROUTER_NAME"),
        SocketAddresses.parse("listen", textOrVariable("listen", "ROUTER_LISTEN")),
        SocketAddresses.parse("discovery", textOrVariable("discovery", "ROUTER_DISCOVERY")),
        seed(),
        (int) limits.integer("sockets", DEFAULT_MAX_DESCRIPTORS),
        limits.integer("memory_mb", DEFAULT_MEMORY_MIB) << BYTES_PER_MIB_SHIFT,
        addressOrNull("peer_listen"),
        peers(),
        addressOrNull("peers_all"),
        knownEndpoints(),
        SettingsDecoder.decode(settings),
        settings.objectOrEmpty("limits").integer("conn-idle-ns", DEFAULT_IDLE_TIMEOUT_NANOS),
        hasLoadReports(settings));
  }

  private String textOrVariable(String name, String variable) {
    String value = environment.get(variable);
    return fields.has(name) || value == null ? fields.text(name) : value;
  }

  private long seed() {
    String digits = fields.text("seed");
    try {
      return Long.parseUnsignedLong(digits, SEED_RADIX);
    } catch (NumberFormatException e) {
      throw MalformedInputException.mismatch(fields.pathOf("seed"), "up to 16 hex digits", digits);
    }
  }

  private InetSocketAddress addressOrNull(String name) {
    return fields.has(name) ? SocketAddresses.parse(name, fields.text(name)) : null;
  }

  private List<InetSocketAddress> peers() {
    List<InetSocketAddress> peers = new ArrayList<>();
    for (String peer : fields.textsOrEmpty("peers")) {
      peers.add(SocketAddresses.parse("peers", peer));
    }
    return peers;
  }

  private EndpointList knownEndpoints() {
    return fields.has("known")
        ? EndpointListParser.parse(fields.object("known"))
        : EndpointList.EMPTY;
  }

  private static boolean hasLoadReports(JsonFields settings) {
    String mode = settings.objectOrEmpty("report").text("how", NO_LOAD_REPORTS);
    return !mode.equals(NO_LOAD_REPORTS);
  }
}
