package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.soak.RequestRecord.Outcome;
import loadbalancer.soak.Violation.Rule;
import org.junit.jupiter.api.Test;

/** Tests that the checker finds violations of each of its rules, and none in a healthy request. */
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
        public boolean hasKillLost(RequestRecord request) {
          return killed;
        }

        @Override
        public boolean wasPaused(long fromNanos, long toNanos) {
          return false;
        }
      };

  private List<Rule> violatedRules(List<RequestRecord> requests) {
    return new InvariantChecker(deployment, attempts, notifications, List.of(history))
        .check(requests).stream().map(Violation::rule).toList();
  }

  /** Returns a request that was served in 20 ms, modified by the change. */
  private RequestRecord request(String kind, Consumer<RequestRecord> change) {
    RequestRecord request = new RequestRecord("t", deployment.requestKind(kind), 0, 1, 1000);
    request.sentNanos = SENT_NANOS;
    request.endNanos = SENT_NANOS + 20 * MILLI_NANOS;
    request.outcome = Outcome.RESPONSE;
    request.status = 200;
    request.body = "t by s0";
    change.accept(request);
    return request;
  }

  private void addAttempt(long atMillis, long startedUnixMillis, long remainingMillis) {
    long at = SENT_NANOS + atMillis * MILLI_NANOS;
    attempts.add(
        new Attempt("t", "s0", startedUnixMillis, at, at, remainingMillis, true, "SERVING"));
  }

  private List<Rule> violatedRulesOf(String kind, Consumer<RequestRecord> change) {
    return violatedRules(List.of(request(kind, change)));
  }

  @Test
  void findsNothingInAHealthyRequest() {
    addAttempt(1, 0, 990);
    assertEquals(List.of(), violatedRulesOf("publish", r -> {}));
  }

  @Test
  void findsRequestsThatGotNoResponseInTime() {
    assertEquals(
        List.of(Rule.DROPPED_REQUEST), violatedRulesOf("read", r -> r.outcome = Outcome.CLOSED));
    assertEquals(
        List.of(Rule.DROPPED_REQUEST),
        violatedRulesOf("read", r -> r.outcome = Outcome.UNANSWERED));
    Consumer<RequestRecord> late = r -> r.endNanos = SENT_NANOS + 1501 * MILLI_NANOS;
    assertEquals(
        List.of(Rule.DROPPED_REQUEST), violatedRulesOf("read", late.andThen(r -> r.status = 503)));
    killed = true;
    assertEquals(
        List.of(),
        violatedRulesOf("read", r -> r.outcome = Outcome.CLOSED),
        "killed by the platform");
  }

  @Test
  void findsResponsesThatNoEndpointMade() {
    addAttempt(1, 0, 990);
    assertEquals(List.of(Rule.WRONG_RESPONSE), violatedRulesOf("read", r -> r.body = "u by s0"));
  }

  @Test
  void findsRequestsThatRanTwiceOrWereRejectedThoughTheyMayHaveRun() {
    addAttempt(1, 0, 990);
    assertEquals(List.of(Rule.DUPLICATE), violatedRulesOf("publish", r -> r.status = 429));
    addAttempt(2, 0, 990);
    assertEquals(List.of(Rule.DUPLICATE), violatedRulesOf("publish", r -> {}));
    assertEquals(List.of(), violatedRulesOf("edit", r -> {}), "within its window");
    addAttempt(3100, 0, -1);
    assertEquals(List.of(Rule.DUPLICATE), violatedRulesOf("edit", r -> {}));
  }

  @Test
  void findsAttemptsAtADrainingEndpoint() {
    EndpointEntry entry = new EndpointEntry("s0", "", EndpointEntry.Phase.DRAINING, 0);
    notifications.add(0, entry, SENT_NANOS - 560 * MILLI_NANOS);
    addAttempt(1, 0, 990);
    assertEquals(List.of(Rule.DRAINING_ENDPOINT), violatedRulesOf("read", r -> {}));
  }

  @Test
  void findsAttemptsForAClientThatHasLeft() {
    addAttempt(150, 0, -1);
    Consumer<RequestRecord> left = r -> r.outcome = Outcome.LEFT;
    assertEquals(
        List.of(Rule.CLIENT_GONE),
        violatedRulesOf("read", left.andThen(r -> r.closedNanos = SENT_NANOS + 20 * MILLI_NANOS)));
  }

  @Test
  void findsAttemptsThatStateTooMuchTime() {
    addAttempt(400, 0, 990);
    assertEquals(List.of(Rule.DEADLINE_PROPAGATION), violatedRulesOf("read", r -> {}));
  }

  @Test
  void findsAttemptsThatAWarmingEndpointCannotTake() {
    long startedUnixMillis =
        System.currentTimeMillis()
            - TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
            + TimeUnit.NANOSECONDS.toMillis(SENT_NANOS);
    EndpointEntry entry = new EndpointEntry("s0", "", EndpointEntry.Phase.READY, startedUnixMillis);
    notifications.add(0, entry, SENT_NANOS);
    // A tenth of the capacity of 40 requests per second, times the overload multiple 2.5, allows
    // 20 attempts in the window of 2 s, plus a margin of 16.4.
    List<RequestRecord> requests = new ArrayList<>(addBurst(30, startedUnixMillis));
    assertEquals(List.of(), violatedRules(requests));
    requests.addAll(addBurst(10, startedUnixMillis));
    assertEquals(List.of(Rule.SLOW_START), violatedRules(requests));
  }

  /** Adds one attempt at the endpoint for each of several requests, and returns the requests. */
  private List<RequestRecord> addBurst(int count, long started) {
    List<RequestRecord> requests = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      RequestRecord request =
          new RequestRecord(count + "-" + i, deployment.requestKind("read"), 0, 1, 1000);
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
