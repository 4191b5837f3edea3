package loadbalancer.config;

/**
 * Thrown for a configuration that cannot be used; the message says in one line what is wrong with
 * it.
 */
public final class ConfigurationException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  ConfigurationException(String problem) {
    super("configuration: " + problem);
  }

  ConfigurationException(RuntimeException cause) {
    super("configuration: " + cause.getMessage(), cause);
  }
}
