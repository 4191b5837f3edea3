package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import loadbalancer.decision.api.UpdateKind;

/**
 * A discovery client that fetches the endpoint list, keeps at most one watch on it open, and
 * supports a change of discovery's address. It reports every list and every failure; its owner
 * decides whether and when to retry a failed call. All methods must be called on the event loop.
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

  /** The open watch; null if there is none. */
  private DiscoveryStream currentWatch;

  /** True while the owner wants a watch, even if none is open because the last one failed. */
  private boolean isWatchEnabled;

  /** True from a failure until a list is received. Only changes of this state are logged. */
  private boolean isFailing;

  /** The number of calls that have timed out since a list was received or the address changed. */
  private int timeoutsSinceLastList;

  /**
   * Creates a client that makes no call until {@link #watch} or {@link #fetch} is called.
   *
   * @param bootstrap connects to discovery; its group has one event loop
   * @param isPushed true if an agent on this machine pushes the list, false if a discovery service
   *     is polled
   * @param firstByteTimeoutMillis the maximum time from a request to the first byte of its
   *     response, in ms
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
      timeoutsSinceLastList = 0;
      watch(isWatchEnabled);
    }
  }

  @Override
  public void watch(boolean enabled) {
    isWatchEnabled = enabled;
    if (currentWatch != null) {
      currentWatch.stop();
      currentWatch = null;
    }
    if (enabled) {
      currentWatch =
          DiscoveryStream.newWatch(
              bootstrap, address, revision.getAsLong(), limits(), streamListener);
      currentWatch.open();
    }
  }

  /** Opens a watch if one is enabled and none is open. */
  public void resumeWatch() {
    if (isWatchEnabled && currentWatch == null) {
      watch(true);
    }
  }

  /** Replaces the watch by a new one if a watch is enabled. */
  public void restartWatch() {
    if (isWatchEnabled) {
      watch(true);
    }
  }

  @Override
  public void fetch() {
    DiscoveryStream.newFetch(bootstrap, address, limits(), streamListener).open();
  }

  private StreamLimits limits() {
    return new StreamLimits(
        DiscoveryTimeouts.firstListTimeoutMillis(isPushed, timeoutsSinceLastList),
        firstByteTimeoutMillis);
  }

  /** Converts the events of streams into updates and tracks failures. */
  private final class StreamListener implements DiscoveryStream.Listener {

    @Override
    public void listReceived(EndpointList list) {
      if (isFailing) {
        LOG.info("discovery_recovered address=" + address);
        isFailing = false;
      }
      timeoutsSinceLastList = 0;
      updates.accept(list.complete() ? UpdateKind.FULL : UpdateKind.DELTA, list);
    }

    @Override
    public void failed(DiscoveryStream stream, DiscoveryFailure failure, String detail) {
      if (failure.isTimeout() && !stream.hasReceivedList()) {
        timeoutsSinceLastList++;
      }
      if (currentWatch == stream) {
        currentWatch = null;
      }
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
