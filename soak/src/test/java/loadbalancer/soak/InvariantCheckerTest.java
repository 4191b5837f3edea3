package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.soak.RequestRecord.Outcome;
import loadbalancer.soak.Violation.Rule;
import org.junit.jupiter.api.Test;

/** Tests that each kind of violation is found, and none in a healthy run. */
class InvariantCheckerTest {

  private static final long SENT_NANOS = TimeUnit.SECONDS.toNanos(1000);
  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final Deployment deployment = Deployment.of(2, 4);
  private final AttemptLog attempts = new AttemptLog();
  private final NotificationLog notifications = new NotificationLog();
  private boolean killed;

  private final ProxyHistory history =
      new ProxyHistory() {
        @Override
        public boolean wasKilledDuring(long sentNanos, long endNanos) {
          return killed;
        }

        @Override
        public boolean wasPaused(long fromNanos, long toNanos) {
          return false;
        }
      };

  private List<Rule> rules(List<RequestRecord> requests) {
    return new InvariantChecker(deployment, attempts, notifications, List.of(history))
        .check(requests).stream().map(Violation::rule).toList();
  }

  /** Returns a request that was served in 20 ms, modified by the change. */
  private RequestRecord request(String kind, Consumer<RequestRecord> change) {
    RequestRecord request = new RequestRecord("t", deployment.kind(kind), 0, 1, 1000);
    request.sentNanos = SENT_NANOS;
    request.endNanos = SENT_NANOS + 20 * MILLI_NANOS;
    request.outcome = Outcome.RESPONSE;
    request.status = 200;
    request.body = "t by s0";
    change.accept(request);
    return request;
  }

  private void attempt(long atMillis, long started, long remainingMillis) {
    long at = SENT_NANOS + atMillis * MILLI_NANOS;
    attempts.add(new Attempt("t", "s0", started, at, at, remainingMillis, true, "SERVING"));
  }

  private List<Rule> rulesOf(String kind, Consumer<RequestRecord> change) {
    return rules(List.of(request(kind, change)));
  }

  @Test
  void findsNothingInAHealthyRequest() {
    attempt(1, 0, 990);
    assertEquals(List.of(), rulesOf("publish", r -> {}));
  }

  @Test
  void findsRequestsThatGotNoResponseInTime() {
    assertEquals(List.of(Rule.DROPPED_REQUEST), rulesOf("read", r -> r.outcome = Outcome.CLOSED));
    assertEquals(
        List.of(Rule.DROPPED_REQUEST), rulesOf("read", r -> r.outcome = Outcome.UNANSWERED));
    Consumer<RequestRecord> late = r -> r.endNanos = SENT_NANOS + 1501 * MILLI_NANOS;
    assertEquals(List.of(Rule.DROPPED_REQUEST), rulesOf("read", late.andThen(r -> r.status = 503)));
    killed = true;
    assertEquals(List.of(), rulesOf("read", r -> r.outcome = Outcome.CLOSED), "by the platform");
  }

  @Test
  void findsResponsesThatNoEndpointMade() {
    attempt(1, 0, 990);
    assertEquals(List.of(Rule.WRONG_RESPONSE), rulesOf("read", r -> r.body = "u by s0"));
  }

  @Test
  void findsRequestsThatRanTwiceOrWereRejectedThoughTheyMayHaveRun() {
    attempt(1, 0, 990);
    assertEquals(List.of(Rule.DUPLICATE), rulesOf("publish", r -> r.status = 429));
    attempt(2, 0, 990);
    assertEquals(List.of(Rule.DUPLICATE), rulesOf("publish", r -> {}));
    assertEquals(List.of(), rulesOf("edit", r -> {}), "within its window");
    attempt(3100, 0, -1);
    assertEquals(List.of(Rule.DUPLICATE), rulesOf("edit", r -> {}));
  }

  @Test
  void findsAttemptsAtADrainingEndpoint() {
    EndpointEntry entry = new EndpointEntry("s0", "", EndpointEntry.Phase.DRAINING, 0);
    notifications.add(0, entry, SENT_NANOS - 560 * MILLI_NANOS);
    attempt(1, 0, 990);
    assertEquals(List.of(Rule.DRAINING_ENDPOINT), rulesOf("read", r -> {}));
  }

  @Test
  void findsAttemptsForAClientThatHasLeft() {
    attempt(150, 0, -1);
    Consumer<RequestRecord> left = r -> r.outcome = Outcome.LEFT;
    assertEquals(
        List.of(Rule.CLIENT_GONE),
        rulesOf("read", left.andThen(r -> r.closedNanos = SENT_NANOS + 20 * MILLI_NANOS)));
  }

  @Test
  void findsAttemptsThatStateTooMuchTime() {
    attempt(400, 0, 990);
    assertEquals(List.of(Rule.DEADLINE_PROPAGATION), rulesOf("read", r -> {}));
  }

  @Test
  void findsAttemptsThatAWarmingEndpointCannotTake() {
    long startedUnixMillis =
        System.currentTimeMillis()
            - TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
            + TimeUnit.NANOSECONDS.toMillis(SENT_NANOS);
    EndpointEntry entry = new EndpointEntry("s0", "", EndpointEntry.Phase.READY, startedUnixMillis);
    notifications.add(0, entry, SENT_NANOS);
    // A tenth of 40 requests per second, times 2.5, gives 20 in 2 s, plus a margin of 16.4.
    List<RequestRecord> requests = new ArrayList<>(burst(30, startedUnixMillis));
    assertEquals(List.of(), rules(requests));
    requests.addAll(burst(10, startedUnixMillis));
    assertEquals(List.of(Rule.SLOW_START), rules(requests));
  }

  private List<RequestRecord> burst(int count, long started) {
    List<RequestRecord> requests = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      RequestRecord request =
          new RequestRecord(count + "-" + i, deployment.kind("read"), 0, 1, 1000);
      request.sentNanos = SENT_NANOS;
      request.endNanos = SENT_NANOS + 20 * MILLI_NANOS;
      request.outcome = Outcome.RESPONSE;
      request.status = 429;
      requests.add(request);
      long at = SENT_NANOS + MILLI_NANOS + i * 1000;
      attempts.add(new Attempt(request.traceId, "s0", started, at, at, -1, false, ""));
    }
    return requests;
  }
}
