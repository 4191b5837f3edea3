package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.logging.Logger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.telemetry.LogValues;

/** Reloads the configuration while the proxy is running. Safe for use by any thread. */
final class ConfigurationReloader {

  private static final Logger LOG = Logger.getLogger(ConfigurationReloader.class.getName());

  private final EventLoop loop;
  private final DiscoveryWatch discovery;

  ConfigurationReloader(EventLoop loop, DiscoveryWatch discovery) {
    this.loop = loop;
    this.discovery = discovery;
  }

  /** A source of configurations. */
  interface Source {
    BalancerConfig read() throws IOException;
  }

  /**
   * Reads the configuration and switches discovery to the address in it; all other changes take
   * effect at the next restart. A configuration that cannot be read changes nothing.
   *
   * <p>Reloads run one at a time: each signal is handled on its own thread, and a configuration
   * that was read earlier must not be applied after a later one.
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
