package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.soak.RequestRecord.Outcome;
import loadbalancer.soak.Violation.Rule;
import org.junit.jupiter.api.Test;

/** Tests which losses of requests a SIGKILL excuses. */
class ProxyEventLogTest {

  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long KILL_NANOS = TimeUnit.SECONDS.toNanos(1000);
  private static final long EXIT_NANOS = KILL_NANOS + 20 * MILLI_NANOS;
  private static final long KILL_AFTER_TERM_NANOS = 3700 * MILLI_NANOS;

  private final Deployment deployment = Deployment.of(1, 4);
  private final ProxyEventLog log = new ProxyEventLog(0, KILL_AFTER_TERM_NANOS);

  private void recordKill() {
    log.recordKill(new ProxyEventLog.Interval(KILL_NANOS, EXIT_NANOS));
  }

  /** Returns a request whose connection was closed without a response. */
  private RequestRecord closed(long atRiskSinceNanos, long writeStartedNanos, long sentNanos) {
    RequestRecord request = new RequestRecord("t", deployment.requestKind("read"), 0, 1, 1000);
    request.atRiskSinceNanos = atRiskSinceNanos;
    request.writeStartedNanos = writeStartedNanos;
    request.sentNanos = sentNanos;
    request.endNanos = Math.max(EXIT_NANOS, sentNanos) + MILLI_NANOS;
    request.outcome = Outcome.CLOSED;
    return request;
  }

  private List<Rule> violations(RequestRecord request) {
    return new InvariantChecker(deployment, new AttemptLog(), new NotificationLog(), List.of(log))
        .check(List.of(request)).stream().map(Violation::rule).toList();
  }

  /**
   * Guards against a false violation: the client writes in two pieces, and the process is killed
   * between them. The second write succeeds, as the connection has ended in order.
   */
  @Test
  void excusesARequestWhoseProxyWasKilledBetweenItsPieces() {
    recordKill();
    long secondPieceNanos = KILL_NANOS + 104 * MILLI_NANOS;
    assertEquals(
        List.of(),
        violations(closed(KILL_NANOS - MILLI_NANOS, secondPieceNanos, secondPieceNanos)));
  }

  /** No process can have accepted the connection of such a request. */
  @Test
  void doesNotExcuseARequestThatBeganAfterTheProcessHadEnded() {
    recordKill();
    long beginNanos = EXIT_NANOS + MILLI_NANOS;
    assertEquals(
        List.of(Rule.DROPPED_REQUEST),
        violations(closed(beginNanos, beginNanos, beginNanos + MILLI_NANOS)));
  }

  @Test
  void excusesALossByAKillAfterAShutdownOnlyIfTheRequestCameEarly() {
    long termNanos = KILL_NANOS - KILL_AFTER_TERM_NANOS;
    log.recordTermination(termNanos);
    recordKill();
    long earlyNanos = termNanos + 600 * MILLI_NANOS;
    long lateNanos = termNanos + 800 * MILLI_NANOS;
    assertTrue(log.hasKillLost(closed(earlyNanos, earlyNanos, earlyNanos)));
    assertFalse(log.hasKillLost(closed(earlyNanos, lateNanos, lateNanos)), "its last byte is late");
  }
}
