package loadbalancer.downstream;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The open client connections by state and age: closes those that exceed a time limit, and picks
 * the ones to shed when descriptors run out.
 */
final class ClientConnections {

  /** In the order in which connections are shed; a serving one never is. */
  enum State {
    /** Its last response is sent and its output closed; the client may still have to read it. */
    LINGERING,
    /** A request is expected or has arrived in part. */
    READING,
    /** Kept alive between requests. */
    IDLE,
    /** A request awaits its response. */
    SERVING
  }

  /** A client is owed an error or a close 3 s after it connects without a complete request. */
  private static final long READING_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

  /** For the client to read an error: closing at once, over unread input, would destroy it. */
  private static final long LINGERING_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** A client without a request for this long does not miss its connection. */
  private static final long IDLE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /** System.nanoTime at entry to the state; each inner map is ordered by it, oldest first. */
  private final Map<State, Map<ClientConnection, Long>> enteredAtNanos = new EnumMap<>(State.class);

  ClientConnections() {
    for (State state : State.values()) {
      enteredAtNanos.put(state, new LinkedHashMap<>());
    }
  }

  int count() {
    int count = 0;
    for (Map<ClientConnection, Long> connections : enteredAtNanos.values()) {
      count += connections.size();
    }
    return count;
  }

  /** Moves a connection to a state, or adds it; its time there starts anew in any case. */
  void setState(ClientConnection connection, State state) {
    remove(connection);
    enteredAtNanos.get(state).put(connection, System.nanoTime());
  }

  boolean isIn(State state, ClientConnection connection) {
    return enteredAtNanos.get(state).containsKey(connection);
  }

  void remove(ClientConnection connection) {
    for (Map<ClientConnection, Long> connections : enteredAtNanos.values()) {
      if (connections.remove(connection) != null) {
        return;
      }
    }
  }

  /** Closes the first connection in shedding order; false if all are serving. */
  boolean shedOne() {
    for (ClientConnection connection : notServing()) {
      if (closeUnlessServing(connection)) {
        return true;
      }
    }
    return false;
  }

  /** Closes the connections that exceed the time limit of their state. */
  void closeExpired() {
    for (ClientConnection connection : expired(State.LINGERING, LINGERING_LIMIT_NANOS)) {
      connection.close();
    }
    for (ClientConnection connection : expired(State.READING, READING_LIMIT_NANOS)) {
      expireIncompleteRequest(connection);
    }
    for (ClientConnection connection : expired(State.IDLE, IDLE_LIMIT_NANOS)) {
      closeUnlessServing(connection);
    }
  }

  /** Closes the connections that neither serve nor receive a request nor linger. */
  void closeIdle() {
    for (ClientConnection connection : notServing()) {
      connection.readPending();
      if (!connection.isReceivingOrLingering()) {
        closeUnlessServing(connection);
      }
    }
  }

  /** Ends the wait for the rest of every request that has not arrived completely. */
  void expireIncompleteRequests() {
    for (ClientConnection connection : List.copyOf(enteredAtNanos.get(State.READING).keySet())) {
      expireIncompleteRequest(connection);
    }
  }

  /** Reads first: the request may be complete, and unread only because the event loop lagged. */
  private void expireIncompleteRequest(ClientConnection connection) {
    connection.readPending();
    if (isIn(State.READING, connection)) {
      connection.requestTimedOut();
    }
  }

  /**
   * Reads first: a request that the kernel has received counts as received, and closing over it
   * would reset the connection.
   */
  private boolean closeUnlessServing(ClientConnection connection) {
    connection.readPending();
    if (isIn(State.SERVING, connection)) {
      return false;
    }
    connection.close();
    return true;
  }

  private List<ClientConnection> notServing() {
    List<ClientConnection> found = new ArrayList<>();
    for (Map.Entry<State, Map<ClientConnection, Long>> entry : enteredAtNanos.entrySet()) {
      if (entry.getKey() != State.SERVING) {
        found.addAll(entry.getValue().keySet());
      }
    }
    return found;
  }

  private List<ClientConnection> expired(State state, long limitNanos) {
    long nowNanos = System.nanoTime();
    List<ClientConnection> found = new ArrayList<>();
    for (Map.Entry<ClientConnection, Long> entry : enteredAtNanos.get(state).entrySet()) {
      if (nowNanos - entry.getValue() <= limitNanos) {
        break;
      }
      found.add(entry.getKey());
    }
    return found;
  }
}
