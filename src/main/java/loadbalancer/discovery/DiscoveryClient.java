package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import loadbalancer.decision.api.UpdateKind;

/**
 * A discovery client that fetches the endpoint list, keeps a watch on it open, and supports a
 * change of discovery's address. It reports every list and every failure; its owner decides whether
 * and when to retry a failed call. All methods must be called on the event loop.
 *
 * <p>A watch that waits long for its first list is reported as failed, because discovery may have
 * lost it, but stays open beside the next one, because discovery may be slow. The one that receives
 * a list first is kept. At most two are open.
 */
public final class DiscoveryClient implements EndpointSource {

  /** The timeout for the first list of a watch at the local agent, in ms. */
  public static final long AGENT_FIRST_LIST_TIMEOUT_MILLIS =
      DiscoveryTimeouts.AGENT_FIRST_LIST_TIMEOUT_MILLIS;

  private static final Logger LOG = Logger.getLogger(DiscoveryClient.class.getName());

  private final Bootstrap bootstrap;
  private final LongSupplier revision;
  private final BiConsumer<UpdateKind, EndpointList> updates;
  private final boolean isPushed;
  private final long firstByteTimeoutMillis;
  private final DiscoveryStream.Listener streamListener = new StreamListener();
  private InetSocketAddress address;

  /** The open watch that has not been reported as failed; null if there is none. */
  private DiscoveryStream currentWatch;

  /** The watch that was reported as failed and still waits for its first list; null for none. */
  private DiscoveryStream delayedWatch;

  /** True while the owner wants a watch, even if none is open because the last one failed. */
  private boolean isWatchEnabled;

  /** True from a failure until a list is received. Only changes of this state are logged. */
  private boolean isFailing;

  /** The number of calls that were delayed since a list was received or the address changed. */
  private int delaysSinceLastList;

  /**
   * Creates a client that makes no call until {@link #watch} or {@link #fetch} is called.
   *
   * @param bootstrap connects to discovery; its group has one event loop
   * @param isPushed true if an agent on this machine pushes the list, false if a discovery service
   *     is polled
   * @param firstByteTimeoutMillis the time from a request to the first byte of its response after
   *     which the call counts as delayed, in ms
   * @param revision supplies the revision after which a watch requests changes; 0 requests the
   *     complete list
   * @param updates receives every list as {@link UpdateKind#FULL} or {@link UpdateKind#DELTA}, and
   *     an empty list as {@link UpdateKind#FAILED} for every failed call
   */
  public DiscoveryClient(
      Bootstrap bootstrap,
      InetSocketAddress address,
      boolean isPushed,
      long firstByteTimeoutMillis,
      LongSupplier revision,
      BiConsumer<UpdateKind, EndpointList> updates) {
    this.bootstrap = bootstrap;
    this.address = address;
    this.isPushed = isPushed;
    this.firstByteTimeoutMillis = firstByteTimeoutMillis;
    this.revision = revision;
    this.updates = updates;
  }

  /** Changes discovery's address and, if a watch is enabled, reopens it at the new address. */
  public void changeAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      delaysSinceLastList = 0;
      stopDelayedWatch();
      restartWatch();
    }
  }

  @Override
  public void watch(boolean enabled) {
    isWatchEnabled = enabled;
    if (!enabled) {
      stopDelayedWatch();
      stopCurrentWatch();
    } else if (currentWatch == null || !currentWatch.hasReceivedList()) {
      openWatch();
    }
  }

  /** Replaces the watch that has not been reported as failed, if there is one, by a new one. */
  private void openWatch() {
    stopCurrentWatch();
    currentWatch =
        new DiscoveryStream(
            bootstrap,
            DiscoveryRequest.watch(address, revision.getAsLong()),
            limits(),
            streamListener);
    currentWatch.open();
  }

  private void stopCurrentWatch() {
    if (currentWatch != null) {
      currentWatch.stop();
      currentWatch = null;
    }
  }

  private void stopDelayedWatch() {
    if (delayedWatch != null) {
      delayedWatch.stop();
      delayedWatch = null;
    }
  }

  /** Opens a watch if one is enabled and none is open. */
  public void resumeWatch() {
    if (isWatchEnabled && currentWatch == null) {
      openWatch();
    }
  }

  /** Replaces the watch by a new one if a watch is enabled. */
  public void restartWatch() {
    if (isWatchEnabled) {
      openWatch();
    }
  }

  @Override
  public void fetch() {
    new DiscoveryStream(bootstrap, DiscoveryRequest.fetch(address), limits(), streamListener)
        .open();
  }

  private StreamLimits limits() {
    return new StreamLimits(
        DiscoveryTimeouts.firstListTimeoutMillis(isPushed, delaysSinceLastList),
        firstByteTimeoutMillis);
  }

  /** Converts the events of streams into updates and tracks failures. */
  private final class StreamListener implements DiscoveryStream.Listener {

    @Override
    public void listReceived(DiscoveryStream stream, EndpointList list) {
      if (stream == delayedWatch) {
        delayedWatch = null;
        stopCurrentWatch();
        currentWatch = stream;
      } else if (stream == currentWatch) {
        stopDelayedWatch();
      }
      if (isFailing) {
        LOG.info("discovery_recovered address=" + address);
        isFailing = false;
      }
      delaysSinceLastList = 0;
      updates.accept(list.complete() ? UpdateKind.FULL : UpdateKind.DELTA, list);
    }

    @Override
    public void delayed(DiscoveryStream stream) {
      if (stream != currentWatch) {
        return; // A fetch has no successor that might be answered earlier.
      }
      delaysSinceLastList++;
      currentWatch = null;
      if (delayedWatch == null) {
        delayedWatch = stream;
      } else {
        stream.stop();
      }
      reportFailure(DiscoveryFailure.SILENT, null);
    }

    @Override
    public void failed(DiscoveryStream stream, DiscoveryFailure failure, String detail) {
      if (stream == delayedWatch) {
        delayedWatch = null; // It was reported when it was delayed.
        return;
      }
      if (failure.isTimeout() && !stream.hasReceivedList()) {
        delaysSinceLastList++;
      }
      if (currentWatch == stream) {
        currentWatch = null;
      }
      reportFailure(failure, detail);
    }

    private void reportFailure(DiscoveryFailure failure, String detail) {
      if (!isFailing) {
        LOG.warning("discovery_failed reason=\"" + failure.reason() + "\"" + formatDetail(detail));
        isFailing = true;
      }
      updates.accept(UpdateKind.FAILED, EndpointList.EMPTY);
    }

    /** Formats a detail for the log: on a single line, with double quotes replaced. */
    private String formatDetail(String detail) {
      if (detail == null) {
        return "";
      }
      return " detail=\"" + detail.replace('"', '\'').replace('\n', ' ') + "\"";
    }
  }
}
