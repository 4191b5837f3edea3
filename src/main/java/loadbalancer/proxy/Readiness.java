package loadbalancer.proxy;

import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.net.MonotonicClock;

/**
 * Decides whether the proxy reports that it is ready. It is once it knows a ready endpoint, or
 * discovery has told it that there is none: it then rejects requests at once, and serves them as
 * soon as an endpoint is listed. If discovery is silent, it waits for a limited time only. Confined
 * to the event loop.
 */
final class Readiness {

  /**
   * Maximum wait for discovery if no ready endpoint is known. A restarted proxy should be ready
   * within 10 s, including the start of the process.
   */
  private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final MonotonicClock clock;
  private final EndpointDirectory directory;
  private final long startedNanos;
  private boolean hasHeardDiscovery;

  /** Creates the readiness of a proxy that starts now. */
  Readiness(MonotonicClock clock, EndpointDirectory directory) {
    this.clock = clock;
    this.directory = directory;
    startedNanos = clock.nowNanos();
  }

  /** Records that discovery has sent a list, whatever it contains. */
  void discoveryHeard() {
    hasHeardDiscovery = true;
  }

  /** Returns whether requests get a response that their clients can use. */
  boolean isReady() {
    return hasHeardDiscovery
        || directory.hasReadyEndpoint()
        || clock.nowNanos() - startedNanos >= MAX_WAIT_NANOS;
  }
}
