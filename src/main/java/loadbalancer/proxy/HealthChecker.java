package loadbalancer.proxy;

import io.netty.handler.codec.http.FullHttpResponse;
import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.HealthCheckResult;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.net.MonotonicClock;
import loadbalancer.upstream.ConnectionPool;
import loadbalancer.upstream.UpstreamCall;

/** Checks the health of endpoints. Confined to the event loop. */
final class HealthChecker {

  /**
   * A check without a response within this time has failed; a healthy endpoint responds within a
   * few milliseconds.
   */
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  private final MonotonicClock clock;
  private final LoadReportReader loadReports;
  private final EndpointDirectory directory;
  private final ConnectionPool pool;
  private final EventQueue events;

  HealthChecker(
      MonotonicClock clock,
      LoadReportReader loadReports,
      EndpointDirectory directory,
      ConnectionPool pool,
      EventQueue events) {
    this.clock = clock;
    this.loadReports = loadReports;
    this.directory = directory;
    this.pool = pool;
    this.events = events;
  }

  /** Checks an endpoint; one {@link HealthCheckResult} event follows. */
  void check(long endpointId) {
    long startedAt = clock.nowNanos();
    UpstreamCall call =
        new UpstreamCall(
            endpointId,
            () -> true,
            (status, response) ->
                checkEnded(endpointId, status, response, clock.nowNanos() - startedAt));
    SocketAddress address = directory.address(endpointId);
    if (address == null) {
      call.complete(AttemptStatus.CONNECT_FAILED, null);
    } else {
      pool.start(call, address, UpstreamRequestFactory::healthCheck, TIMEOUT_NANOS);
    }
  }

  private void checkEnded(
      long endpointId, AttemptStatus status, FullHttpResponse response, long latencyNanos) {
    Map<String, Double> loadReport = loadReports.read(response);
    events.enqueue(() -> new HealthCheckResult(endpointId, status, latencyNanos, loadReport));
  }
}
