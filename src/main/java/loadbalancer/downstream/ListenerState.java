package loadbalancer.downstream;

/**
 * The phase of the listener between start and shutdown, as far as it affects client connections.
 */
final class ListenerState {

  private boolean ready;
  private boolean draining;
  private boolean closingConnections;

  void markReady() {
    ready = true;
  }

  void startDraining() {
    draining = true;
  }

  void startClosingConnections() {
    closingConnections = true;
  }

  /**
   * Returns whether the listener is ready and not draining; only then can health checks succeed.
   */
  boolean isServing() {
    return ready && !draining;
  }

  /** Returns whether connections are closed after the response to their last queued request. */
  boolean isClosingConnections() {
    return closingConnections;
  }
}
