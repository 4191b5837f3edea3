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

  /** Logs an update that the directory has just been given. */
  void updated(UpdateKind kind, EndpointList list) {
    int ready = directory.readyCount();
    String state =
        " known_revision="
            + directory.revision()
            + " endpoints="
            + directory.size()
            + " ready="
            + ready;
    if (kind == UpdateKind.FULL) {
      LOG.info(
          "endpoint_list_received revision="
              + list.revision()
              + " members="
              + list.members().size()
              + state);
    }
    boolean hasNone = ready == 0;
    if (hasNone && !isWithoutReadyEndpoint) {
      LOG.warning("no_endpoint_ready" + state);
    } else if (!hasNone && isWithoutReadyEndpoint) {
      LOG.info("endpoint_ready" + state);
    }
    isWithoutReadyEndpoint = hasNone;
  }
}
