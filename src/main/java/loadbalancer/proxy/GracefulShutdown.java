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
 * Ends a proxy's service without losing a request. Timetable, in milliseconds from SIGTERM:
 *
 * <ol>
 *   <li>At 0 health checks start to fail, and everything is still accepted and served.
 *   <li>At {@link #ACCEPT_MILLIS} the listener closes, or as soon as no connection waits for it.
 *   <li>At {@link #serveMillis} idle connections close, and every response closes its connection.
 *       From here on the shutdown is complete as soon as no connection is left.
 *   <li>At {@link #expiryMillis} everything that is still in flight gets its final response.
 *   <li>{@link #FLUSH_MILLIS} later the shutdown is complete in any case.
 * </ol>
 *
 * <p>{@link #run} and the methods that wait are for any thread but the event loop's.
 */
final class GracefulShutdown {

  private static final Logger LOG = Logger.getLogger(GracefulShutdown.class.getName());

  /**
   * Clients open new connections for up to 0.4 s after SIGTERM; the rest is for an event loop that
   * lags.
   */
  private static final long ACCEPT_MILLIS = 550;

  /**
   * Clients go on using the connections that they have, and other instances may be away at the same
   * time: they are served for as long as leaves time to complete what is then in flight.
   */
  private static final long MAX_SERVE_MILLIS = 2200;

  /** The least time between the end of service and the expiry, for what is then in flight. */
  private static final long MIN_COMPLETION_MILLIS = 400;

  /** SIGKILL comes so long after SIGTERM, beyond the longest deadline of any class. */
  private static final long KILL_AFTER_DEADLINE_MILLIS = 700;

  /** Longer deadlines do not put SIGKILL off any further. */
  private static final long MAX_DEADLINE_MILLIS = 3000;

  /**
   * The expiry comes so long before SIGKILL, as the event loop may lag. What came before SIGTERM
   * has had all its time by then.
   */
  private static final long KILL_MARGIN_MILLIS = 600;

  /** Time between the expiry and the end, for the last responses to leave. */
  private static final long FLUSH_MILLIS = 150;

  /** How often the connections are counted once the service has ended. */
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
   * Prepares a shutdown.
   *
   * @param closeEventLoop ends the event loop at the shutdown's end; may return before it has ended
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
   * How long after SIGTERM everything in flight gets its final response: early enough before
   * SIGKILL, which comes the sooner the shorter the deadlines are.
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

  /** How long after SIGTERM requests are served on connections that stay open. */
  private long serveMillis() {
    return Math.max(
        ACCEPT_MILLIS, Math.min(MAX_SERVE_MILLIS, expiryMillis - MIN_COMPLETION_MILLIS));
  }

  /** Shuts down and returns once that is complete. Called again it only waits. */
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

  /** Blocks until a shutdown has started. */
  void awaitStart() {
    Latches.await(started);
  }

  /** Blocks until a shutdown is complete. */
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
