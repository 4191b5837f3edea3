package loadbalancer.soak;

import java.util.List;

/**
 * The disruptions of the discovery of all proxies: outages, and releases whose drains no open watch
 * delivers. The two exclude each other: during an outage no proxy can learn what a watch that ended
 * did not deliver. Thread-safe.
 */
final class DiscoveryDisruptions {

  private final List<ProxyNode> proxies;
  private final EndpointFleet endpoints;
  private final EndpointCatalogue catalogue;
  private int outages;
  private boolean isReleasing;

  DiscoveryDisruptions(
      List<ProxyNode> proxies, EndpointFleet endpoints, EndpointCatalogue catalogue) {
    this.proxies = proxies;
    this.endpoints = endpoints;
    this.catalogue = catalogue;
  }

  /** Returns whether discovery is down. */
  synchronized boolean isDown() {
    return outages > 0;
  }

  /** Takes discovery down for a time, unless a release is in progress. */
  void takeDown(long millis) throws InterruptedException {
    if (!beginOutage()) {
      return;
    }
    Thread.sleep(millis);
    endOutage();
  }

  private synchronized boolean beginOutage() {
    if (isReleasing) {
      return false;
    }
    if (outages++ == 0) {
      proxies.forEach(proxy -> proxy.agent().setDown(true));
    }
    return true;
  }

  private synchronized void endOutage() {
    if (--outages == 0) {
      proxies.forEach(proxy -> proxy.agent().setDown(false));
      proxies.forEach(proxy -> proxy.deliver(catalogue.revision()));
    }
  }

  /**
   * Replaces all endpoints, unless discovery is down or another such release is in progress.
   * Watches end instead of delivering the drains, and new ones start with a complete list without
   * draining endpoints.
   */
  void releaseAll() throws InterruptedException {
    if (!beginRelease()) {
      return;
    }
    try {
      endpoints.replaceAll();
    } finally {
      endRelease();
    }
  }

  private synchronized boolean beginRelease() {
    if (isReleasing || isDown()) {
      return false;
    }
    isReleasing = true;
    proxies.forEach(proxy -> proxy.agent().setStartsWithCompleteList(true));
    proxies.forEach(proxy -> proxy.agent().setEndsWatchesOnChange(true));
    return true;
  }

  private synchronized void endRelease() {
    proxies.forEach(proxy -> proxy.agent().setEndsWatchesOnChange(false));
    isReleasing = false;
  }
}
