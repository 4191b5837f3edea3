package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.Settings;
import loadbalancer.downstream.DownstreamListener;

/**
 * Shuts down a proxy without losing a request. The schedule, in milliseconds from SIGTERM:
 *
 * <ol>
 *   <li>At 0, health checks start to fail, while connections and requests are still accepted.
 *   <li>From {@link #ACCEPT_MILLIS} on, the listener closes as soon as no connection waits in the
 *       kernel's queue.
 *   <li>At {@link #serveMillis}, idle connections close, and from then on a response closes its
 *       connection unless another request has arrived on it. The shutdown is complete as soon as
 *       the listener is closed and no connection is left.
 *   <li>At {@link #expiryMillis}, every request that is still in flight or incomplete gets its
 *       final response.
 *   <li>{@link #FLUSH_MILLIS} after that, the shutdown is complete in any case.
 * </ol>
 *
 * <p>{@link #run} and the methods that wait must not be called on the event loop.
 */
final class GracefulShutdown {

  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

  /**
   * Clients open new connections for up to 0.4 s after SIGTERM; the rest allows for event loop lag.
   */
  private static final long ACCEPT_MILLIS = 550;

  /**
   * Maximum time for which open connections are served. Clients keep using them, and other
   * instances may be down at the same time; enough time is left to complete the requests in flight.
   */
  private static final long MAX_SERVE_MILLIS = 2200;

  /**
   * Minimum time between closing idle connections and the expiry, for the requests that are then in
   * flight.
   */
  private static final long MIN_COMPLETION_MILLIS = 400;

  /** SIGKILL follows SIGTERM after the longest deadline of any class plus this time. */
  private static final long KILL_AFTER_DEADLINE_MILLIS = 700;

  /** Longer deadlines than this do not delay SIGKILL any further. */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  /**
   * Time between the expiry and SIGKILL, which allows for event loop lag. By the expiry, requests
   * that arrived before SIGTERM have reached their deadlines, up to {@link #MAX_DEADLINE_MILLIS}.
   */
  private static final long KILL_MARGIN_MILLIS = 600;

  /** Time between the expiry and the end of the shutdown, for the last responses to be sent. */
  private static final long FLUSH_MILLIS = 150;

  /** Interval at which the open connections are counted after idle ones were closed. */
  private static final long CONNECTION_CHECK_MILLIS = 20;

  private final EventLoop loop;
  private final RequestDispatcher dispatcher;
  private final DownstreamListener listener;
  private final long expiryMillis;
  private final Runnable closeEventLoop;
  private final AtomicBoolean hasBegun = new AtomicBoolean();
  private final CountDownLatch started = new CountDownLatch(1);
  private final CountDownLatch drained = new CountDownLatch(1);
  private final CountDownLatch complete = new CountDownLatch(1);

  /**
   * Creates a shutdown that has not started.
   *
   * @param closeEventLoop closes the event loop at the end of the shutdown; may return before the
   *     loop has terminated
   */
  GracefulShutdown(
      EventLoop loop, ProxyComponents components, Settings settings, Runnable closeEventLoop) {
    this.loop = loop;
    dispatcher = components.dispatcher();
    listener = components.listener();
    expiryMillis = expiryMillis(settings);
    this.closeEventLoop = closeEventLoop;
  }

  /**
   * Returns the time after SIGTERM at which every request in flight gets its final response: {@link
   * #KILL_MARGIN_MILLIS} before SIGKILL, but not before {@link #ACCEPT_MILLIS}. SIGKILL follows the
   * longest deadline, so it comes earlier if the deadlines are shorter.
   */
  static long expiryMillis(Settings settings) {
    long longestNanos = 0;
    for (RequestClass requestClass : settings.classes()) {
      longestNanos = Math.max(longestNanos, requestClass.deadlineNanos());
    }
    long longestMillis = TimeUnit.NANOSECONDS.toMillis(longestNanos);
    long killMillis = Math.min(MAX_DEADLINE_MILLIS, longestMillis) + KILL_AFTER_DEADLINE_MILLIS;
    return Math.max(ACCEPT_MILLIS, killMillis - KILL_MARGIN_MILLIS);
  }

  /** Returns the time after SIGTERM until which idle connections stay open. */
  private long serveMillis() {
    return Math.max(
        ACCEPT_MILLIS, Math.min(MAX_SERVE_MILLIS, expiryMillis - MIN_COMPLETION_MILLIS));
  }

  /** Shuts down and returns when the shutdown is complete. Further calls only wait for that. */
  void run() {
    if (!hasBegun.compareAndSet(false, true)) {
      awaitCompletion();
      return;
    }
    LOG.info("shutdown_started");
    loop.execute(this::start);
    Latches.await(drained);
    closeEventLoop.run();
    LOG.info("shutdown_complete");
    complete.countDown();
  }

  /** Blocks until the shutdown has started. */
  void awaitStart() {
    Latches.await(started);
  }

  /** Blocks until the shutdown is complete. */
  void awaitCompletion() {
    Latches.await(complete);
  }

  private void start() {
    listener.startDraining();
    started.countDown();
    loop.schedule(listener::stopAccepting, ACCEPT_MILLIS, TimeUnit.MILLISECONDS);
    loop.schedule(this::endService, serveMillis(), TimeUnit.MILLISECONDS);
    loop.schedule(this::expire, expiryMillis, TimeUnit.MILLISECONDS);
    loop.schedule(drained::countDown, expiryMillis + FLUSH_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void endService() {
    listener.closeIdleConnections();
    checkConnections();
  }

  private void checkConnections() {
    if (listener.isAccepting() || listener.connectionCount() > 0) {
      loop.schedule(this::checkConnections, CONNECTION_CHECK_MILLIS, TimeUnit.MILLISECONDS);
    } else {
      drained.countDown();
    }
  }

  private void expire() {
    LOG.info(
        "shutdown_expired requests_in_flight="
            + dispatcher.inFlightCount()
            + " connections="
            + listener.connectionCount());
    dispatcher.expireAll();
    listener.expireIncompleteRequests();
  }
}
