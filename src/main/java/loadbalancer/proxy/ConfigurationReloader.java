package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Logger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.telemetry.LogValues;

/** Reads the configuration again while the proxy serves. Safe for use by any thread. */
final class ConfigurationReloader {

  private static final Logger LOG = Logger.getLogger(ConfigurationReloader.class.getName());

  private final EventLoop loop;
  private final DiscoveryWatch discovery;

  ConfigurationReloader(EventLoop loop, DiscoveryWatch discovery) {
    this.loop = loop;
    this.discovery = discovery;
  }

  /** Where a configuration is read from. */
  interface Source {
    BalancerConfig read() throws IOException;
  }

  /**
   * Reads the configuration and follows discovery to the address in it; everything else waits for a
   * restart. A configuration that cannot be read changes nothing.
   *
   * <p>Reads one at a time: each signal has a thread of its own, and what was read first must not
   * be applied last.
   */
  synchronized void reload(Source source) {
    try {
      InetSocketAddress address = source.read().discoveryAddress();
      loop.execute(() -> discovery.changeAddress(address));
      LOG.info("configuration_reloaded discovery=" + address);
    } catch (IOException | RuntimeException e) {
      LOG.warning(
          "configuration_rejected reason=" + LogValues.quote(BalancerConfig.describeProblem(e)));
    }
  }
}
