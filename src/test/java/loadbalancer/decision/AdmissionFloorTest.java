package loadbalancer.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.decision.EngineDriver.InFlightAttempt;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against an instance that rejects every request for so long that it does not notice when
 * its endpoints recover.
 */
class AdmissionFloorTest {

  /** The longest time without an attempt; the rate limiter admits a request at least every 2 s. */
  private static final long MAX_PAUSE_NANOS = 4000 * EngineDriver.MS;

  private static final long ARRIVAL_INTERVAL_NANOS = 100 * EngineDriver.MS;

  /**
   * Every attempt ends after twice the latency objective, and windows are two objectives long. The
   * endpoints are never all full, because nothing could be attempted then.
   */
  @ParameterizedTest
  @CsvSource({"400, SUCCESS", "400, TIMEOUT", "3000, SUCCESS", "3000, TIMEOUT", "10000, TIMEOUT"})
  void attemptsSomethingEveryFewSecondsWhileItRejects(long objectiveMillis, AttemptStatus status) {
    long objective = objectiveMillis * EngineDriver.MS;
    RequestClass requestClass =
        new RequestClass(
            "c",
            Idempotence.IDEMPOTENT,
            DedupScope.ALL,
            0,
            objective,
            0,
            4 * objective,
            1,
            0,
            false);
    EngineDriver driver =
        new EngineDriver(EngineDriver.settings(false, List.of(), requestClass)).withEndpoints(4);
    long lastAttempt = driver.now;
    long longestPause = 0;
    int rejectionCount = 0;
    for (long end = driver.now + 60_000 * EngineDriver.MS; driver.now < end; ) {
      String id = driver.nextRequestId();
      boolean rejected =
          EngineDriver.containsKind(
              driver.handle(
                  new RequestArrived(id, "c", null, id, driver.now + 4 * objective, 0, false)),
              RejectRequest.class);
      rejectionCount += rejected ? 1 : 0;
      driver.advanceEndingAttempts(ARRIVAL_INTERVAL_NANOS, status, 2 * objective);
      // Attempts take longer than the interval, so those started within it are still in flight.
      for (InFlightAttempt attempt : driver.inFlight) {
        longestPause = Math.max(longestPause, attempt.startedAt() - lastAttempt);
        lastAttempt = Math.max(lastAttempt, attempt.startedAt());
      }
    }
    longestPause = Math.max(longestPause, driver.now - lastAttempt);
    assertTrue(rejectionCount > 100, "rejected: " + rejectionCount);
    assertTrue(
        longestPause < MAX_PAUSE_NANOS, "no attempt for " + longestPause / EngineDriver.MS + " ms");
  }
}
