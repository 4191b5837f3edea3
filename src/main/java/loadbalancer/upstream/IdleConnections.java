package loadbalancer.upstream;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.LongPredicate;
import java.util.logging.Logger;
import loadbalancer.net.BoundedLog;

/**
 * The idle connections of all endpoints. Decides which of them may be reused for another call, and
 * records the idle times after which connections break and the delay of second responses. Confined
 * to the event loop.
 */
final class IdleConnections {

  private static final BoundedLog SURPLUS_RESPONSES =
      new BoundedLog(Logger.getLogger(IdleConnections.class.getName()));

  /**
   * The idle timeout of this process as a fraction of the upstreams' idle timeout. It is below 1
   * because a request that is sent while the upstream closes the connection is reset.
   */
  private static final double IDLE_TIMEOUT_FRACTION = 0.7;

  private final long idleTimeoutNanos;
  private final IdleReusePolicy reusePolicy = new IdleReusePolicy();
  private final SecondResponseGuard secondResponseGuard = new SecondResponseGuard();

  /** The connections of each endpoint, most recently used first. */
  private final Map<Long, ArrayDeque<UpstreamConnection>> byEndpoint = new HashMap<>();

  private int surplusResponses;

  /**
   * Creates an empty set of connections.
   *
   * @param upstreamIdleNanos the idle time after which upstreams close connections
   */
  IdleConnections(long upstreamIdleNanos) {
    idleTimeoutNanos = (long) (upstreamIdleNanos * IDLE_TIMEOUT_FRACTION);
  }

  /** Adds a connection that has become idle. */
  void add(UpstreamConnection connection) {
    byEndpoint.computeIfAbsent(connection.endpointId(), id -> new ArrayDeque<>()).push(connection);
  }

  /** Removes a connection, if it is idle, without closing it. */
  void remove(UpstreamConnection connection) {
    ArrayDeque<UpstreamConnection> connections = byEndpoint.get(connection.endpointId());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /**
   * Removes and returns a connection that may carry another call, or returns null if there is none.
   * Closes the connections that it finds unusable. Connections that have been idle for less than
   * the quiet period are skipped and kept.
   */
  UpstreamConnection acquire(long endpointId, SocketAddress address) {
    ArrayDeque<UpstreamConnection> connections = byEndpoint.get(endpointId);
    if (connections == null) {
      return null;
    }
    long now = System.nanoTime();
    for (UpstreamConnection connection : List.copyOf(connections)) {
      long idleNanos = connection.idleNanos(now);
      if (secondResponseGuard.isQuietPeriodOver(idleNanos)) {
        connections.remove(connection);
        if (isReusable(connection, address, now, idleNanos)) {
          connection.markReused(idleNanos);
          return connection;
        }
        connection.close();
      }
    }
    return null;
  }

  /**
   * Returns whether a connection may carry another call. The idle timeout is checked here too,
   * because {@link #closeExpired()} runs rarely compared with a short idle timeout, and late when
   * the event loop lags.
   */
  private boolean isReusable(
      UpstreamConnection connection, SocketAddress address, long now, long idleNanos) {
    return idleNanos <= idleTimeoutNanos
        && connection.isConnectedTo(address)
        && reusePolicy.allowsReuse(now, idleNanos)
        && connection.hasNothingUnread();
  }

  /**
   * Records whether a connection that was reused after an idle time broke before the response to
   * its call started.
   */
  void recordReuse(long idleNanos, boolean hasBroken) {
    reusePolicy.recordReuse(System.nanoTime(), idleNanos, hasBroken);
  }

  /** Counts and logs a connection on which bytes followed a complete response. */
  void recordSurplusResponse(SocketAddress address) {
    surplusResponses++;
    SURPLUS_RESPONSES.warn("surplus_response address=" + address, null);
  }

  /** Returns the number of such connections since the last call. */
  int takeSurplusResponses() {
    int taken = surplusResponses;
    surplusResponses = 0;
    return taken;
  }

  /** Records unexpected bytes as a second response if the connection is idle. */
  void recordUnexpectedBytes(UpstreamConnection connection) {
    ArrayDeque<UpstreamConnection> connections = byEndpoint.get(connection.endpointId());
    if (connections != null && connections.contains(connection)) {
      secondResponseGuard.recordSecondResponse(connection.idleNanos(System.nanoTime()));
    }
  }

  /** Closes the connections that have been idle for longer than the idle timeout. */
  void closeExpired() {
    long now = System.nanoTime();
    Iterator<ArrayDeque<UpstreamConnection>> endpoints = byEndpoint.values().iterator();
    while (endpoints.hasNext()) {
      ArrayDeque<UpstreamConnection> connections = endpoints.next();
      while (!connections.isEmpty() && connections.peekLast().idleNanos(now) > idleTimeoutNanos) {
        connections.pollLast().close();
      }
      if (connections.isEmpty()) {
        endpoints.remove();
      }
    }
  }

  /** Closes the idle connections to an endpoint. */
  void closeAll(long endpointId) {
    ArrayDeque<UpstreamConnection> connections = byEndpoint.remove(endpointId);
    if (connections != null) {
      connections.forEach(UpstreamConnection::close);
    }
  }

  /** Closes the idle connections to the endpoints whose ids match. */
  void closeMatching(LongPredicate endpoints) {
    for (long endpointId : List.copyOf(byEndpoint.keySet())) {
      if (endpoints.test(endpointId)) {
        closeAll(endpointId);
      }
    }
  }

  /** Closes the connection that has been idle longest. Returns whether there was one. */
  boolean closeLongestIdle() {
    long now = System.nanoTime();
    UpstreamConnection longestIdle = null;
    for (ArrayDeque<UpstreamConnection> connections : byEndpoint.values()) {
      UpstreamConnection candidate = connections.peekLast();
      if (candidate != null
          && (longestIdle == null || candidate.idleNanos(now) > longestIdle.idleNanos(now))) {
        longestIdle = candidate;
      }
    }
    if (longestIdle == null) {
      return false;
    }
    byEndpoint.get(longestIdle.endpointId()).removeLast();
    longestIdle.close();
    return true;
  }
}
