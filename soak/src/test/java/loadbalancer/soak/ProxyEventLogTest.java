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

  /** Returns the violations of a request whose connection was closed without a response. */
  private List<Rule> violationsOfClosed(long writeStartedNanos, long sentNanos) {
    RequestRecord request = new RequestRecord("t", deployment.requestKind("read"), 0, 1, 1000);
    request.writeStartedNanos = writeStartedNanos;
    request.sentNanos = sentNanos;
    request.endNanos = sentNanos + MILLI_NANOS;
    request.outcome = Outcome.CLOSED;
    return new InvariantChecker(deployment, new AttemptLog(), new NotificationLog(), List.of(log))
        .check(List.of(request)).stream().map(Violation::rule).toList();
  }

  /**
   * Guards against a false violation on a busy machine: the write preceded the end of the process,
   * but the client read the clock 104 ms after the kill.
   */
  @Test
  void excusesARequestWhoseClientReadTheClockLate() {
    recordKill();
    assertEquals(
        List.of(), violationsOfClosed(KILL_NANOS + MILLI_NANOS, KILL_NANOS + 104 * MILLI_NANOS));
  }

  /** No process can have read such a request, however soon after the kill it was written. */
  @Test
  void doesNotExcuseARequestThatWasWrittenAfterTheProcessHadEnded() {
    recordKill();
    assertEquals(
        List.of(Rule.DROPPED_REQUEST),
        violationsOfClosed(EXIT_NANOS + MILLI_NANOS, EXIT_NANOS + 2 * MILLI_NANOS));
  }

  @Test
  void excusesALossByAKillAfterAShutdownOnlyIfTheRequestCameEarly() {
    long termNanos = KILL_NANOS - KILL_AFTER_TERM_NANOS;
    log.recordTermination(termNanos);
    recordKill();
    assertTrue(log.wasKilledDuring(termNanos + 600 * MILLI_NANOS, EXIT_NANOS));
    assertFalse(log.wasKilledDuring(termNanos + 800 * MILLI_NANOS, EXIT_NANOS));
  }
}
