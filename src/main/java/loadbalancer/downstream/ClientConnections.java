package loadbalancer.downstream;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.telemetry.ClientActivity;
import loadbalancer.telemetry.ClientCloseReason;

/**
 * The open client connections by state and age. It closes those that exceed a time limit, and
 * selects those to shed when descriptors run out.
 */
final class ClientConnections {

  /**
   * The states of a connection, in the order in which connections are shed; one that serves or
   * responds is never shed.
   */
  enum State {
    /**
     * The last response has been sent and the output closed; the client may not have read it yet.
     */
    LINGERING,
    /** The first request is expected, or a part of a request has arrived. */
    READING,
    /** The connection is kept alive between requests. */
    IDLE,
    /** A request awaits its response. */
    SERVING,
    /** A response is being written, which the client does not read as fast. */
    RESPONDING
  }

  /**
   * Time limit for a request to arrive completely. A client that sends no complete request must get
   * an error or a close within 3 s of connecting.
   */
  private static final long READING_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2000);

  /**
   * Time for the client to read its last response. Closing at once with unread input would reset
   * the connection, and the response could be lost.
   */
  private static final long LINGERING_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Time for the client to read a response so far that the rest is in the kernel's buffer. Until
   * then the response takes memory, and the connection cannot be shed.
   */
  private static final long RESPONDING_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Idle time after which a client is not expected to use its connection again. */
  private static final long IDLE_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(60);

  /**
   * {@code System.nanoTime} at which a connection entered its state, by state; each inner map is
   * ordered by it, oldest first.
   */
  private final Map<State, Map<ClientConnection, Long>> enteredAtNanos = new EnumMap<>(State.class);

  private final ClientActivity activity;
  private long acceptedCount;

  /**
   * Creates an empty collection.
   *
   * @param activity counts the connections and how they end
   */
  ClientConnections(ClientActivity activity) {
    this.activity = activity;
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

  /** Returns the number of a new connection, counted from 1. */
  long nextNumber() {
    return ++acceptedCount;
  }

  /** Adds a new connection. */
  void add(ClientConnection connection) {
    activity.opened();
    enteredAtNanos.get(State.READING).put(connection, System.nanoTime());
  }

  /**
   * Moves a connection to a state, unless it has ended. Its time in the state restarts even if it
   * stays the same.
   */
  void setState(ClientConnection connection, State state) {
    if (removeFromState(connection)) {
      enteredAtNanos.get(state).put(connection, System.nanoTime());
    }
  }

  boolean isIn(State state, ClientConnection connection) {
    return enteredAtNanos.get(state).containsKey(connection);
  }

  /** Removes a connection that has ended; a no-op if it has been removed. */
  void remove(ClientConnection connection, ClientCloseReason reason) {
    if (removeFromState(connection)) {
      activity.closed(reason);
    }
  }

  private boolean removeFromState(ClientConnection connection) {
    for (Map<ClientConnection, Long> connections : enteredAtNanos.values()) {
      if (connections.remove(connection) != null) {
        return true;
      }
    }
    return false;
  }

  /**
   * Closes the first connection in shedding order. Returns false if all connections are serving.
   */
  boolean shedOne() {
    for (ClientConnection connection : notServing()) {
      if (closeUnlessServing(connection, ClientCloseReason.SHED)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Closes the connections that exceed the time limit of their state. One with a partial request
   * gets an error response first.
   */
  void closeExpired() {
    for (ClientConnection connection : expired(State.LINGERING, LINGERING_LIMIT_NANOS)) {
      connection.close(ClientCloseReason.TIMEOUT);
    }
    for (ClientConnection connection : expired(State.RESPONDING, RESPONDING_LIMIT_NANOS)) {
      connection.close(ClientCloseReason.TIMEOUT);
    }
    for (ClientConnection connection : expired(State.READING, READING_LIMIT_NANOS)) {
      expireIncompleteRequest(connection);
    }
    for (ClientConnection connection : expired(State.IDLE, IDLE_LIMIT_NANOS)) {
      closeUnlessServing(connection, ClientCloseReason.TIMEOUT);
    }
  }

  /**
   * Closes the connections that are neither serving nor receiving a request, and are not lingering.
   */
  void closeIdle() {
    for (ClientConnection connection : notServing()) {
      connection.readPending();
      if (!connection.isReceivingOrLingering()) {
        closeUnlessServing(connection, ClientCloseReason.SHUTDOWN);
      }
    }
  }

  /**
   * Times out every connection in {@link State#READING}: one with a partial request gets an error
   * response, and one that has sent nothing is closed.
   */
  void expireIncompleteRequests() {
    for (ClientConnection connection : List.copyOf(enteredAtNanos.get(State.READING).keySet())) {
      expireIncompleteRequest(connection);
    }
  }

  /**
   * Times out a connection that waits for a complete request. Pending input is read first, as the
   * rest of the request may be unread only because the event loop lagged.
   */
  private void expireIncompleteRequest(ClientConnection connection) {
    connection.readPending();
    if (isIn(State.READING, connection)) {
      connection.requestTimedOut();
    }
  }

  /**
   * Closes a connection unless it is serving, and returns whether it was closed. Pending input is
   * read first, as a request that the kernel has received counts as received, and closing with
   * unread input would reset the connection.
   */
  private boolean closeUnlessServing(ClientConnection connection, ClientCloseReason reason) {
    connection.readPending();
    if (isIn(State.SERVING, connection) || isIn(State.RESPONDING, connection)) {
      return false;
    }
    connection.close(reason);
    return true;
  }

  private List<ClientConnection> notServing() {
    List<ClientConnection> found = new ArrayList<>();
    for (Map.Entry<State, Map<ClientConnection, Long>> entry : enteredAtNanos.entrySet()) {
      if (entry.getKey() != State.SERVING && entry.getKey() != State.RESPONDING) {
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
