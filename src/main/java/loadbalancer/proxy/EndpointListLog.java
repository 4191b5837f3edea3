package loadbalancer.proxy;

import java.util.logging.Logger;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;

/**
 * Logs each complete endpoint list with the state of the directory after it, and when the last
 * ready endpoint goes or the first one comes. Confined to the event loop.
 */
final class EndpointListLog {

  private static final Logger LOG = Logger.getLogger(EndpointListLog.class.getName());

  private final EndpointDirectory directory;
  private boolean isWithoutReadyEndpoint;

  /** Creates a log of a directory, which counts as having a ready endpoint so far. */
  EndpointListLog(EndpointDirectory directory) {
    this.directory = directory;
  }

  /** Logs an update from discovery that the directory has just been given. */
  void updated(UpdateKind kind, EndpointList list) {
    if (kind == UpdateKind.FULL) {
      LOG.info(
          "endpoint_list_received revision="
              + list.revision()
              + " members="
              + list.members().size()
              + directoryFields());
    }
    checkReadyEndpoints();
  }

  /** Logs whether there is a ready endpoint if that has changed. */
  void checkReadyEndpoints() {
    boolean hasNone = !directory.hasReadyEndpoint();
    if (hasNone && !isWithoutReadyEndpoint) {
      LOG.warning("no_endpoint_ready" + directoryFields());
    } else if (!hasNone && isWithoutReadyEndpoint) {
      LOG.info("endpoint_ready" + directoryFields());
    }
    isWithoutReadyEndpoint = hasNone;
  }

  private String directoryFields() {
    return " known_revision="
        + directory.revision()
        + " endpoints="
        + directory.size()
        + " ready="
        + directory.readyCount();
  }
}
