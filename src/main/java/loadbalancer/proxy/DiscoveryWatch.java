package loadbalancer.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.DiscoveryTimeouts;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.EndpointSource;

/**
 * Owns the discovery client and passes its updates to the dispatcher. If the list is pushed by an
 * agent on this machine, it also owns the watch and its retries; if the list is polled, the
 * decision engine does. Confined to the event loop, except for {@link #awaitFirstUpdate}.
 */
final class DiscoveryWatch {

  private static final Logger LOG = Logger.getLogger(DiscoveryWatch.class.getName());

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;

  /** Interval at which the watch is reopened while discovery sends outdated lists. */
  private static final long OUTDATED_LIST_RETRY_MILLIS = 500;

  private final EventLoop loop;
  private final boolean isPushed;
  private final long drainGraceNanos;
  private final EndpointDirectory directory;
  private final DiscoveryClient client;
  private final EndpointListLog listLog;
  private final CountDownLatch firstUpdate = new CountDownLatch(1);
  private RequestDispatcher dispatcher;
  private int consecutiveFailures;
  private boolean isOutdatedListRetryScheduled;

  /**
   * Creates a watch that has not called discovery yet.
   *
   * @param bootstrap opens connections on the event loop
   * @param isPushed whether the list is pushed by an agent on this machine, instead of polled
   * @param drainGraceNanos time after the agent learns of a drain within which it has to be applied
   */
  DiscoveryWatch(
      EventLoop loop,
      Bootstrap bootstrap,
      InetSocketAddress address,
      boolean isPushed,
      long drainGraceNanos,
      EndpointDirectory directory) {
    this.loop = loop;
    this.isPushed = isPushed;
    this.drainGraceNanos = drainGraceNanos;
    this.directory = directory;
    listLog = new EndpointListLog(directory);
    client =
        new DiscoveryClient(
            bootstrap.clone().option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS),
            address,
            isPushed,
            firstByteMillis(isPushed, drainGraceNanos),
            directory::revision,
            this::handleUpdate);
  }

  /**
   * Returns the time limit for the first byte of a response. A polled list has none: the calls wait
   * in a queue at discovery, and only the time until the first list is limited.
   */
  private static long firstByteMillis(boolean isPushed, long drainGraceNanos) {
    return isPushed
        ? DiscoveryTimeouts.agentFirstByteTimeoutMillis(
            TimeUnit.NANOSECONDS.toMillis(drainGraceNanos))
        : Long.MAX_VALUE;
  }

  /**
   * Returns the source on which the decision engine's actions on the endpoint list are carried out.
   */
  EndpointSource source() {
    return client;
  }

  /**
   * Starts passing updates to a dispatcher, which has the configured list, and opens the watch if
   * the list is pushed.
   */
  void start(RequestDispatcher dispatcher) {
    this.dispatcher = dispatcher;
    listLog.checkReadyEndpoints();
    if (isPushed) {
      client.watch(true);
    }
  }

  /** Switches to another discovery address. */
  void changeAddress(InetSocketAddress address) {
    client.changeAddress(address);
  }

  /**
   * Blocks until discovery has sent a list or the time is over, and returns whether it has sent
   * one. Must not be called on the event loop.
   */
  boolean awaitFirstUpdate(long nanos) {
    return Latches.await(firstUpdate, nanos);
  }

  private void handleUpdate(UpdateKind kind, EndpointList list) {
    if (kind != UpdateKind.FAILED) {
      firstUpdate.countDown();
    }
    if (kind == UpdateKind.FAILED && isPushed) {
      retryWatch();
    } else {
      consecutiveFailures = 0;
      dispatcher.endpointsUpdated(kind, list);
      listLog.updated(kind, list);
      scheduleRetryIfOutdated(list);
    }
  }

  private void scheduleRetryIfOutdated(EndpointList list) {
    if (directory.isDiscoveryBehind() && !isOutdatedListRetryScheduled) {
      LOG.warning("endpoint_list_outdated revision=" + list.revision());
      isOutdatedListRetryScheduled = true;
      loop.schedule(
          this::restartWatchIfOutdated, OUTDATED_LIST_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void restartWatchIfOutdated() {
    isOutdatedListRetryScheduled = false;
    if (directory.isDiscoveryBehind()) {
      client.restartWatch();
    }
  }

  private void retryWatch() {
    long backoffMillis = AgentRetryPolicy.backoffMillis(consecutiveFailures++, drainGraceNanos);
    // Randomized, so that the instances on a machine do not all call their agent at the same time.
    long delayMillis = ThreadLocalRandom.current().nextLong(backoffMillis / 2, backoffMillis);
    loop.schedule(client::resumeWatch, delayMillis, TimeUnit.MILLISECONDS);
  }
}
