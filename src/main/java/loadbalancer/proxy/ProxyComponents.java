package loadbalancer.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.util.function.LongFunction;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Settings;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointSource;
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.gossip.GossipSender;
import loadbalancer.net.DescriptorBudget;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.EventLoopLagMonitor;
import loadbalancer.telemetry.RequestTrace;
import loadbalancer.upstream.ConnectionPool;

/**
 * The two ends of a proxy whose parts have been wired together on one event loop.
 *
 * @param dispatcher where requests, endpoint updates and gossip go
 * @param listener where clients connect
 */
record ProxyComponents(RequestDispatcher dispatcher, DownstreamListener listener) {

  /**
   * Wires the parts of a proxy. Without further settings it has no bounds on descriptors and
   * memory, no discovery and no gossip. To be used on the event loop.
   */
  static final class Builder {

    private static final EndpointSource NO_ENDPOINT_SOURCE =
        new EndpointSource() {
          @Override
          public void watch(boolean enabled) {}

          @Override
          public void fetch() {}
        };

    private static final GossipSender NO_GOSSIP = (to, data) -> {};

    private final EventLoop loop;
    private final Settings settings;
    private final LongFunction<DecisionEngine> engineFactory;
    private final MonotonicClock clock = new MonotonicClock();
    private final EndpointDirectory directory = new EndpointDirectory(clock);
    private Bootstrap upstreams;
    private long upstreamIdleNanos;
    private LoadReportReader loadReports = new LoadReportReader(false);
    private int maxDescriptors = Integer.MAX_VALUE;
    private long maxBodyBytes = Long.MAX_VALUE;
    private EndpointSource endpointSource = NO_ENDPOINT_SOURCE;
    private GossipSender gossip = NO_GOSSIP;

    /**
     * Starts with the parts that have no choice.
     *
     * @param engineFactory makes the n-th decision engine of the process, from 0
     */
    Builder(EventLoop loop, Settings settings, LongFunction<DecisionEngine> engineFactory) {
      this.loop = loop;
      this.settings = settings;
      this.engineFactory = engineFactory;
    }

    /** The endpoint list of the proxy that is being built. */
    EndpointDirectory directory() {
      return directory;
    }

    /**
     * How connections to upstreams are made; has to be stated.
     *
     * @param idleNanos time after which an upstream may close an idle connection
     * @param loadReports whether upstreams report their load
     */
    Builder upstreams(Bootstrap bootstrap, long idleNanos, boolean loadReports) {
      this.upstreams = bootstrap;
      this.upstreamIdleNanos = idleNanos;
      this.loadReports = new LoadReportReader(loadReports);
      return this;
    }

    /**
     * Bounds what the proxy takes of the machine.
     *
     * @param maxDescriptors file descriptors of the process
     * @param maxBodyBytes bytes of request bodies that are held at one time
     */
    Builder limits(int maxDescriptors, long maxBodyBytes) {
      this.maxDescriptors = maxDescriptors;
      this.maxBodyBytes = maxBodyBytes;
      return this;
    }

    /** Where the decision engine has the endpoint list watched and fetched. */
    Builder endpointSource(EndpointSource endpointSource) {
      this.endpointSource = endpointSource;
      return this;
    }

    /** Where the decision engine's messages to other instances go. */
    Builder gossip(GossipSender gossip) {
      this.gossip = gossip;
      return this;
    }

    ProxyComponents build() {
      DescriptorBudget descriptors = new DescriptorBudget(maxDescriptors);
      ConnectionPool pool =
          new ConnectionPool(
              upstreams,
              descriptors,
              settings.limits().connectTimeoutNanos(),
              upstreamIdleNanos,
              directory::isReady);
      RequestDispatcher dispatcher = buildDispatcher(pool);
      DownstreamListener listener =
          new DownstreamListener(
              dispatcher,
              clock,
              new EventLoopLagMonitor(loop, clock),
              descriptors,
              pool,
              settings,
              maxBodyBytes);
      return new ProxyComponents(dispatcher, listener);
    }

    private RequestDispatcher buildDispatcher(ConnectionPool pool) {
      RequestTrace trace = new RequestTrace(directory::name);
      InFlightRequests requests = new InFlightRequests();
      EventQueue events = new EventQueue(loop);
      RequestCompleter completer = new RequestCompleter(clock, requests, events, trace);
      AttemptGuard guard = new AttemptGuard(clock, directory, trace);
      AttemptRunner attempts =
          new AttemptRunner(
              clock,
              settings.limits().maxAttempts(),
              loadReports,
              directory,
              pool,
              requests,
              completer,
              events,
              guard,
              trace);
      HealthChecker healthChecks = new HealthChecker(clock, loadReports, directory, pool, events);
      ActionExecutor actions =
          new ActionExecutor(
              loop,
              clock,
              requests,
              completer,
              attempts,
              healthChecks,
              pool,
              endpointSource,
              gossip,
              events,
              guard,
              trace);
      events.deliverTo(
          new EngineRunner(
              loop,
              clock,
              engineFactory,
              events,
              directory,
              requests,
              completer,
              attempts,
              actions));
      return new RequestDispatcher(
          loop, clock, directory, pool, requests, completer, attempts, events);
    }
  }
}
