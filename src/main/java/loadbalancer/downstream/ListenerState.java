package loadbalancer.downstream;

/** How far the listener has come from start to shutdown, as far as client connections need it. */
final class ListenerState {

  private boolean ready;
  private boolean draining;
  private boolean closing;

  void markReady() {
    ready = true;
  }

  void startDraining() {
    draining = true;
  }

  void startClosing() {
    closing = true;
  }

  /** Whether health checks should send clients here. */
  boolean isServing() {
    return ready && !draining;
  }

  /** Whether every response closes its connection unless further requests wait on it. */
  boolean isClosing() {
    return closing;
  }
}
