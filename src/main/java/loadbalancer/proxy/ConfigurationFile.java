package loadbalancer.proxy;

import java.io.IOException;
import java.util.Map;
import loadbalancer.config.BalancerConfig;

/** Reads the configuration file, and repeats the read after transient failures. */
final class ConfigurationFile {

  private ConfigurationFile() {}

  /**
   * Reads the file that the environment names.
   *
   * @throws IOException if it cannot be read
   * @throws loadbalancer.config.ConfigurationException if no file is named or its content is
   *     invalid
   */
  static BalancerConfig read(Map<String, String> environment) throws IOException {
    return TransientFailures.retry(
        "configuration_read_failed", () -> BalancerConfig.read(environment));
  }
}
