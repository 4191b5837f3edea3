package loadbalancer.discovery;

import io.netty.bootstrap.Bootstrap;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import java.util.logging.Logger;
import loadbalancer.decision.api.UpdateKind;

/**
 * The client of discovery: fetches the endpoint list, keeps at most one watch on it, and follows
 * discovery to a new address. It reports every list and every failure; whether and when a failed
 * call is repeated is its owner's decision. All methods run on the event loop.
 */
public final class DiscoveryClient implements EndpointSource {

  /** The time for the first list of a watch at the local agent, in ms. */
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

  /** The watch that stands; null if none does. */
  private DiscoveryStream currentWatch;

  /** Whether a watch is wanted, also while none stands because the last one failed. */
  private boolean isWatchEnabled;

  /** Whether the last call failed; limits the log to the changes. */
  private boolean isFailing;

  /** Calls in a row that a time limit ended without a list. */
  private int consecutiveTimeouts;

  /**
   * A client that is idle until it is asked to watch or fetch.
   *
   * @param bootstrap connects to discovery; its group has one event loop
   * @param isPushed whether an agent on this machine pushes the list, rather than a service that is
   *     polled
   * @param firstByteTimeoutMillis the time from a request to the first byte of its response, in ms
   * @param revision the version of the list that was last accepted
   * @param updates gets every list, as {@link UpdateKind#FULL} or {@link UpdateKind#DELTA}, and for
   *     every failed call an empty one as {@link UpdateKind#FAILED}
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

  /** Follows discovery to a new address: ends a watch at the old one and watches at the new one. */
  public void changeAddress(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      consecutiveTimeouts = 0;
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
          DiscoveryStream.watch(bootstrap, address, revision.getAsLong(), limits(), streamListener);
      currentWatch.open();
    }
  }

  /** Watches again, if a watch is wanted and none stands. */
  public void resumeWatch() {
    if (isWatchEnabled && currentWatch == null) {
      watch(true);
    }
  }

  /** Replaces the watch by another one, if one is wanted. */
  public void restartWatch() {
    if (isWatchEnabled) {
      watch(true);
    }
  }

  @Override
  public void fetch() {
    DiscoveryStream.fetch(bootstrap, address, limits(), streamListener).open();
  }

  private StreamLimits limits() {
    return new StreamLimits(
        DiscoveryTimeouts.firstListTimeoutMillis(isPushed, consecutiveTimeouts),
        firstByteTimeoutMillis);
  }

  /** Turns what the streams report into updates, and keeps account of failures. */
  private final class StreamListener implements DiscoveryStream.Listener {

    @Override
    public void listReceived(EndpointList list) {
      if (isFailing) {
        LOG.info("discovery_recovered address=" + address);
        isFailing = false;
      }
      consecutiveTimeouts = 0;
      updates.accept(list.complete() ? UpdateKind.FULL : UpdateKind.DELTA, list);
    }

    @Override
    public void failed(DiscoveryStream stream, DiscoveryFailure failure, String detail) {
      if (failure.isTimeout() && !stream.hasReceivedList()) {
        consecutiveTimeouts++;
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

    /** One line, in which quotes end nothing before the end. */
    private String formatDetail(String detail) {
      if (detail == null) {
        return "";
      }
      return " detail=\"" + detail.replace('"', '\'').replace('\n', ' ') + "\"";
    }
  }
}
