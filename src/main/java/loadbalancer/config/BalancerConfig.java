package loadbalancer.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.Settings;
import loadbalancer.discovery.EndpointList;
import loadbalancer.json.MalformedInputException;

/**
 * The configuration of one load balancer instance.
 *
 * @param name the name of the instance in its log
 * @param listenAddress the address on which the instance accepts clients
 * @param discoveryAddress the address of the discovery agent, which provides the endpoint list; the
 *     only component that a reload changes
 * @param seed the seed of all random choices
 * @param maxDescriptors the number of file descriptors that the process may have open
 * @param memoryBytes the memory that the process may use
 * @param gossipListenAddress the address on which the instance receives gossip; null if it receives
 *     none
 * @param instanceAddresses the gossip addresses of all instances of the group, this one included,
 *     by index
 * @param broadcastAddress the address that reaches all other instances at once; null if there is
 *     none
 * @param initialEndpoints the endpoint list as it was when the configuration was written
 * @param settings the settings of the decision engine
 * @param idleTimeoutNanos the time after which an endpoint may close an idle connection
 * @param hasLoadReports whether responses carry a load report
 */
public record BalancerConfig(
    String name,
    InetSocketAddress listenAddress,
    InetSocketAddress discoveryAddress,
    long seed,
    int maxDescriptors,
    long memoryBytes,
    InetSocketAddress gossipListenAddress,
    List<InetSocketAddress> instanceAddresses,
    InetSocketAddress broadcastAddress,
    EndpointList initialEndpoints,
    Settings settings,
    long idleTimeoutNanos,
    boolean hasLoadReports) {

  /** The environment variable that names the configuration file. */
  public static final String FILE_VARIABLE = "ROUTER_CONFIG";

  /**
   * Reads the configuration file that the environment names.
   *
   * @throws IOException if the file cannot be read
   * @throws ConfigurationException if the configuration cannot be used, or if no file is named
   */
  public static BalancerConfig read(Map<String, String> environment) throws IOException {
    String path = environment.get(FILE_VARIABLE);
    if (path == null) {
      throw new ConfigurationException(FILE_VARIABLE + " is not set");
    }
    return parse(Files.readString(Path.of(path)), environment);
  }

  /**
   * Parses a configuration. The environment provides some of the fields that the text lacks. The
   * text takes precedence, since the file can be replaced while the process runs and the
   * environment cannot.
   *
   * @throws ConfigurationException if the configuration cannot be used
   */
  public static BalancerConfig parse(String text, Map<String, String> environment) {
    try {
      return new BalancerConfigParser(text, environment).parse();
    } catch (MalformedInputException | IllegalArgumentException e) {
      throw new ConfigurationException(e);
    }
  }

  /** Returns one line that says why a configuration could not be read or used. */
  public static String describeProblem(Exception problem) {
    String text = hasSelfExplanatoryMessage(problem) ? problem.getMessage() : problem.toString();
    return text.lines().findFirst().orElse("");
  }

  private static boolean hasSelfExplanatoryMessage(Exception problem) {
    return problem instanceof ConfigurationException
        || problem instanceof MalformedInputException
        || problem instanceof IllegalArgumentException;
  }
}
