package loadbalancer.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestTraceTest {

  private static final long MS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final RequestClass CLASS =
      new RequestClass(
          "c", Idempotence.IDEMPOTENT, DedupScope.ALL, 0, 400 * MS, 0, 2000 * MS, 1, 0, false);

  private record FakeAttempt(
      long endpointId, long startedAtNanos, AttemptStatus status, long latencyNanos)
      implements TracedAttempt {}

  private record FakeRequest(
      String traceId, long acceptedAtNanos, long unreadNanos, List<FakeAttempt> attempts)
      implements TracedRequest {

    @Override
    public RequestClass requestClass() {
      return CLASS;
    }

    @Override
    public long connectionNumber() {
      return 3;
    }

    @Override
    public boolean hasClientLeft() {
      return traceId.equals("left");
    }

    @Override
    public long deadlineNanos() {
      return acceptedAtNanos + 2000 * MS;
    }
  }

  private final List<String> lines = new ArrayList<>();
  private final Logger logger = Logger.getLogger(RequestTrace.class.getName());
  private final ClientActivity clients = new ClientActivity();
  private int surplusResponses;
  private final RequestTrace trace =
      new RequestTrace(
          endpointId -> "s-" + endpointId,
          new MemoryUsage(() -> 6 << 20, () -> 300 << 10, () -> 7 << 10, () -> 9 << 20),
          clients,
          this::takeSurplusResponses);
  private final Handler handler =
      new Handler() {
        @Override
        public void publish(LogRecord line) {
          lines.add(line.getMessage());
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
      };

  private int takeSurplusResponses() {
    int taken = surplusResponses;
    surplusResponses = 0;
    return taken;
  }

  @BeforeEach
  void addHandler() {
    logger.addHandler(handler);
  }

  @AfterEach
  void removeHandler() {
    logger.removeHandler(handler);
  }

  private static FakeRequest requestAcceptedAt(String traceId, long atNanos) {
    return new FakeRequest(traceId, atNanos, 0, List.of());
  }

  @Test
  void logsAFailedRequestOnOneLineWithAllItsAttempts() {
    FakeRequest request =
        new FakeRequest(
            "t1",
            0,
            12 * MS,
            List.of(
                new FakeAttempt(7, 10 * MS, AttemptStatus.RESET, 40 * MS),
                new FakeAttempt(8, 60 * MS, null, 0)));
    trace.responded(request, HttpResponseStatus.BAD_GATEWAY, 90 * MS);
    assertEquals(
        List.of(
            "request trace_id=t1 class=c status=502 connection=3 duration_ms=90 budget_ms=2000"
                + " unread_ms=12"
                + " attempt_1=endpoint:s-7,start_ms:10,status:RESET,latency_ms:40"
                + " attempt_2=endpoint:s-8,start_ms:60,status:IN_FLIGHT"),
        lines);
  }

  @Test
  void logsLateAndQueuedRequestsOnLinesOfTheirOwn() {
    trace.responded(requestAcceptedAt("late", 0), HttpResponseStatus.OK, 401 * MS);
    trace.responded(requestAcceptedAt("queued", 0), HttpResponseStatus.TOO_MANY_REQUESTS, 2 * MS);
    assertEquals(
        List.of(
            "request trace_id=late class=c status=200 connection=3 duration_ms=401 budget_ms=2000"
                + " unread_ms=0",
            "request trace_id=queued class=c status=429 connection=3 duration_ms=2 budget_ms=2000"
                + " unread_ms=0"),
        lines);
  }

  @Test
  void onlyCountsRequestsServedInTimeOrRejectedAtOnce() {
    trace.attemptEnded(AttemptStatus.SUCCESS);
    trace.attemptEnded(AttemptStatus.REJECTED);
    surplusResponses = 1;
    trace.timerFired(3 * MS);
    trace.responded(requestAcceptedAt("good", 0), HttpResponseStatus.OK, 400 * MS);
    trace.responded(
        requestAcceptedAt("rejected", 500 * MS), HttpResponseStatus.TOO_MANY_REQUESTS, 501 * MS);
    trace.responded(requestAcceptedAt("next", 1400 * MS), HttpResponseStatus.OK, 1500 * MS);
    assertEquals(
        List.of(
            "summary served=2 late=0 rejected_at_once=1 rejected_later=0 failed=0 abandoned=0"
                + " attempts_success=1 attempts_rejected=1 surplus_responses=1 max_loop_lag_ms=3"
                + " clients=0 clients_unread=0 buffers_kib=6144 bodies_kib=300 heads_kib=7"
                + " heap_kib=9216"),
        lines);
  }

  @Test
  void logsARequestWhoseClientLeftOnceAnAttemptHadStarted() {
    trace.abandoned(requestAcceptedAt("left", 0), 5 * MS);
    trace.abandoned(
        new FakeRequest("left", 0, 0, List.of(new FakeAttempt(7, 0, null, 0))), 10 * MS);
    assertEquals(
        List.of(
            "request trace_id=left class=c status=none connection=3 client=left duration_ms=10"
                + " budget_ms=2000 unread_ms=0"
                + " attempt_1=endpoint:s-7,start_ms:0,status:IN_FLIGHT"),
        lines);
  }

  /** Guards against seconds without a summary because no request got a response in them. */
  @Test
  void summarisesWhatClientsDidThoughNoRequestWasServed() {
    trace.periodPassed(0);
    clients.opened();
    clients.opened();
    clients.readingPaused();
    clients.replied(400);
    clients.replied(400);
    clients.closed(ClientCloseReason.CLIENT);
    trace.periodPassed(1000 * MS);
    trace.periodPassed(2000 * MS);
    trace.periodPassed(3000 * MS);
    assertEquals(
        List.of(
            "summary served=0 late=0 rejected_at_once=0 rejected_later=0 failed=0 abandoned=0"
                + " max_loop_lag_ms=0 clients=1 clients_unread=1 replies_400=2 closes_client=1"
                + " buffers_kib=6144 bodies_kib=300 heads_kib=7 heap_kib=9216"),
        lines);
  }

  /**
   * Guards against log output that grows with the number of failures and takes the CPU time that
   * requests need.
   */
  @Test
  void boundsTheLinesIfAllRequestsFail() {
    for (int i = 0; i < 1000; i++) {
      trace.responded(requestAcceptedAt("t" + i, 0), HttpResponseStatus.BAD_GATEWAY, 100 * MS);
    }
    assertTrue(lines.size() < 10, "lines: " + lines.size());
    trace.responded(requestAcceptedAt("later", 1200 * MS), HttpResponseStatus.OK, 1300 * MS);
    String last = lines.get(lines.size() - 1);
    assertTrue(last.contains("failed=1000 "), last);
  }
}
