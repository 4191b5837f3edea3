package loadbalancer.discovery;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointList.Member;
import loadbalancer.net.MonotonicClock;

/** The upstreams as discovery last named them: the module's numbers, addresses and states. */
public final class EndpointDirectory {

  private final MonotonicClock clock;
  private final Map<String, Long> numbers = new HashMap<>();
  private final Map<Long, Member> servers = new LinkedHashMap<>();
  private final List<Long> restarted = new ArrayList<>();
  private long revision;

  public EndpointDirectory(MonotonicClock clock) {
    this.clock = clock;
  }

  /** The version of the list that is held. */
  public long revision() {
    return revision;
  }

  /** Where an upstream listens; null for one that is not on the list. */
  public SocketAddress address(long upstream) {
    Member server = servers.get(upstream);
    return server == null ? null : server.address();
  }

  /** Its name on the list; its number in hex for one that has left. */
  public String name(long upstream) {
    Member server = servers.get(upstream);
    return server == null ? Long.toHexString(upstream) : server.id();
  }

  public boolean isReady(long upstream) {
    Member server = servers.get(upstream);
    return server != null && server.state() == EndpointState.READY;
  }

  public boolean hasReady() {
    return servers.values().stream().anyMatch(s -> s.state() == EndpointState.READY);
  }

  /** Takes in a list, or changes to it, and words it for the module: as no change where it is not to be believed. */
  public EndpointListUpdate apply(UpdateKind kind, EndpointList list) {
    restarted.clear();
    if (!isNews(kind, list)) {
      return new EndpointListUpdate(UpdateKind.DELTA, List.of());
    }
    revision = list.revision();
    Map<Long, Member> before = new HashMap<>(servers);
    if (kind != UpdateKind.DELTA) {
      servers.clear();
    }
    List<Endpoint> entries = new ArrayList<>();
    for (Member server : list.members()) {
      long number = numbers.computeIfAbsent(server.id(), this::number);
      entries.add(listed(number, server));
      Member was = before.get(number);
      if (was != null && (was.upSinceMillis() != server.upSinceMillis() || !was.address().equals(server.address()))) {
        restarted.add(number);
      }
      if (server.state() == EndpointState.GONE) {
        servers.remove(number);
      } else {
        servers.put(number, server);
      }
    }
    // A name that left gets its number again should it come back; nothing is kept of it meanwhile.
    numbers.values().retainAll(servers.keySet());
    return new EndpointListUpdate(kind, entries);
  }

  /** Upstreams that, by the list last taken in, are another process than before. */
  public List<Long> restartedEndpoints() {
    return restarted;
  }

  /**
   * Guards against a discovery that lags or has just lost its own list: an older version would bring back what has gone,
   * and an empty list would take the service away. Version 0 is that of a list that names none.
   */
  private boolean isNews(UpdateKind kind, EndpointList list) {
    boolean older = list.revision() > 0 && list.revision() < revision;
    boolean empties = kind != UpdateKind.DELTA && list.members().isEmpty() && !servers.isEmpty();
    return !older && !empties;
  }

  /** The list as it is held, for a module that starts anew. */
  public EndpointListUpdate snapshot() {
    List<Endpoint> entries = new ArrayList<>();
    servers.forEach((number, server) -> entries.add(listed(number, server)));
    return new EndpointListUpdate(UpdateKind.CACHED, entries);
  }

  /** FNV-1a of the name: every balancer, and each after a restart, has to place the same keys alike. */
  private long number(String id) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * 0x100000001b3L;
    }
    while (numbers.containsValue(hash)) {
      hash++;
    }
    return hash;
  }

  private Endpoint listed(long number, Member s) {
    return new Endpoint(number, s.zone(), s.cell(), s.state(), clock.nanosAtUnixMillis(s.upSinceMillis()), s.weight());
  }
}
