package loadbalancer.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Settings;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointSource;
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.downstream.RequestParser;
import loadbalancer.gossip.GossipSender;
import loadbalancer.http.MessageMemory;
import loadbalancer.net.DescriptorBudget;
import loadbalancer.net.LoopIterations;
import loadbalancer.net.MemoryBudget;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.ClientActivity;
import loadbalancer.telemetry.EventLoopLagMonitor;
import loadbalancer.telemetry.MemoryUsage;
import loadbalancer.telemetry.RequestTrace;
import loadbalancer.upstream.ConnectionPool;

/**
 * The entry points of a proxy whose components share one event loop.
 *
 * @param dispatcher receives requests, endpoint list updates and gossip
 * @param listener accepts clients
 */
record ProxyComponents(RequestDispatcher dispatcher, DownstreamListener listener) {

  /**
   * Builds the components of a proxy. Without further settings the proxy has no limits on
   * descriptors and memory, no discovery and no gossip. Must be used on the event loop.
   */
  static final class Builder {

    private static final EndpointSource NO_ENDPOINT_SOURCE =
        new EndpointSource() {
          @Override
          public void watch(boolean enabled) {}

          @Override
          public void fetch() {}
        };

    private static final long SUMMARY_PERIOD_SECONDS = 1;

    private static final GossipSender NO_GOSSIP = (to, data) -> {};

    private final EventLoop loop;
    private final Settings settings;
    private final LongFunction<DecisionEngine> engineFactory;
    private final MonotonicClock clock = new MonotonicClock();
    private final EndpointDirectory directory = new EndpointDirectory(clock);
    private Bootstrap upstreams;
    private long upstreamIdleNanos;
    private LoadReportReader loadReports = new LoadReportReader(false);
    private ResourceLimits limits = ResourceLimits.UNLIMITED;
    private EndpointSource endpointSource = NO_ENDPOINT_SOURCE;
    private GossipSender gossip = NO_GOSSIP;

    /**
     * Creates a builder with the values that have no default.
     *
     * @param engineFactory creates the n-th decision engine of the process, counted from 0
     */
    Builder(EventLoop loop, Settings settings, LongFunction<DecisionEngine> engineFactory) {
      this.loop = loop;
      this.settings = settings;
      this.engineFactory = engineFactory;
    }

    /** Returns the endpoint directory of the proxy that is being built. */
    EndpointDirectory directory() {
      return directory;
    }

    /**
     * Sets the properties of upstreams; must be called before {@link #build}.
     *
     * @param bootstrap opens connections to upstreams
     * @param idleNanos time after which an upstream may close an idle connection
     * @param hasLoadReports whether upstreams send load reports
     */
    Builder upstreams(Bootstrap bootstrap, long idleNanos, boolean hasLoadReports) {
      this.upstreams = bootstrap;
      this.upstreamIdleNanos = idleNanos;
      this.loadReports = new LoadReportReader(hasLoadReports);
      return this;
    }

    /** Limits the resources that the proxy uses. */
    Builder limits(ResourceLimits limits) {
      this.limits = limits;
      return this;
    }

    /** Sets the source from which the decision engine watches and fetches the endpoint list. */
    Builder endpointSource(EndpointSource endpointSource) {
      this.endpointSource = endpointSource;
      return this;
    }

    /** Sets the sender of the decision engine's messages to other instances. */
    Builder gossip(GossipSender gossip) {
      this.gossip = gossip;
      return this;
    }

    ProxyComponents build() {
      DescriptorBudget descriptors = new DescriptorBudget(limits.maxDescriptors());
      MemoryBudget bodyBudget = new MemoryBudget(limits.maxBodyBytes());
      MemoryBudget headBudget = new MemoryBudget(limits.maxHeadBytes());
      ConnectionPool pool =
          new ConnectionPool(
              upstreams,
              descriptors,
              settings.limits().connectTimeoutNanos(),
              upstreamIdleNanos,
              directory::isReady,
              new MessageMemory(bodyBudget, headBudget));
      ClientActivity clients = new ClientActivity();
      RequestTrace trace =
          new RequestTrace(
              directory::name,
              MemoryUsage.ofProcess(bodyBudget::usedBytes, headBudget::usedBytes),
              clients,
              pool::takeSurplusResponses);
      loop.scheduleWithFixedDelay(
          () -> trace.periodPassed(clock.nowNanos()),
          SUMMARY_PERIOD_SECONDS,
          SUMMARY_PERIOD_SECONDS,
          TimeUnit.SECONDS);
      RequestDispatcher dispatcher = buildDispatcher(pool, trace);
      DownstreamListener listener =
          new DownstreamListener(
              dispatcher,
              new RequestParser(settings, clock, new EventLoopLagMonitor(loop, clock)),
              descriptors,
              pool,
              new MessageMemory(bodyBudget.share(limits.maxRequestBytes()), headBudget),
              new LoopIterations(loop),
              clients);
      return new ProxyComponents(dispatcher, listener);
    }

    private RequestDispatcher buildDispatcher(ConnectionPool pool, RequestTrace trace) {
      InFlightRequests requests = new InFlightRequests();
      EventQueue events = new EventQueue(loop);
      RequestCompleter completer = new RequestCompleter(clock, requests, events, trace);
      AttemptGuard guard = new AttemptGuard(clock, directory, trace);
      AttemptRunner runner =
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
      HealthChecker healthChecker = new HealthChecker(clock, loadReports, directory, pool, events);
      ActionExecutor actions =
          new ActionExecutor(
              loop,
              clock,
              requests,
              completer,
              runner,
              healthChecker,
              pool,
              endpointSource,
              gossip,
              events,
              guard,
              trace);
      events.deliverTo(
          new EngineRunner(
              loop, clock, engineFactory, events, directory, requests, completer, runner, actions));
      return new RequestDispatcher(
          loop, clock, directory, pool, requests, completer, runner, events);
    }
  }
}
