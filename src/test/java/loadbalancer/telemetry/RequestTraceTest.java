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
  private static final RequestClass TYPE =
      new RequestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL, 0, 400 * MS, 0, 2000 * MS, 1, 0, false);

  private final List<String> lines = new ArrayList<>();
  private final Logger logger = Logger.getLogger(RequestTrace.class.getName());
  private final RequestTrace trail = new RequestTrace(upstream -> "s-" + upstream);
  private final Handler handler = new Handler() {
    @Override
    public void publish(LogRecord line) {
      lines.add(line.getMessage());
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
  };

  @BeforeEach
  void listen() {
    logger.addHandler(handler);
  }

  @AfterEach
  void listenNoMore() {
    logger.removeHandler(handler);
  }

  private record FakeAttempt(long endpointId, long startedAtNanos, AttemptStatus status, long latencyNanos)
      implements TracedAttempt {}

  private record FakeRequest(String traceId, long acceptedAtNanos, long unreadNanos, List<FakeAttempt> attempts)
      implements TracedRequest {

    @Override
    public RequestClass requestClass() {
      return TYPE;
    }

    @Override
    public long deadlineNanos() {
      return acceptedAtNanos + 2000 * MS;
    }
  }

  private static FakeRequest taken(String traceId, long at) {
    return new FakeRequest(traceId, at, 0, List.of());
  }

  @Test
  void aRequestThatEndedBadlyIsToldOfWithAllItsAttempts() {
    FakeRequest request = new FakeRequest("t1", 0, 12 * MS,
        List.of(new FakeAttempt(7, 10 * MS, AttemptStatus.RESET, 40 * MS), new FakeAttempt(8, 60 * MS, null, 0)));
    trail.responded(request, HttpResponseStatus.BAD_GATEWAY, 90 * MS);
    assertEquals(List.of("t1 c answered 502 after 90 of 2000 ms, read up to 12 ms late; sent to s-7 at 10, RESET after 40; "
        + "sent to s-8 at 60, out"), lines);
  }

  @Test
  void whatEndedWellOrWasRefusedAtOnceIsOnlyCounted() {
    trail.attemptEnded(AttemptStatus.SUCCESS);
    trail.attemptEnded(AttemptStatus.REJECTED);
    trail.timerFired(3 * MS);
    trail.responded(taken("good", 0), HttpResponseStatus.OK, 400 * MS);
    trail.responded(taken("refused", 500 * MS), HttpResponseStatus.TOO_MANY_REQUESTS, 501 * MS);
    trail.responded(taken("next", 1400 * MS), HttpResponseStatus.OK, 1500 * MS);
    assertEquals(List.of("served 2, 0 of them past the aim; refused 1 at once, 0 later; failed 0; attempts 1 SUCCESS 1 REJECTED; "
        + "loop behind by 3 ms at most"), lines);
  }

  /** On a day when all goes wrong the log takes no more of the core than on any other. */
  @Test
  void aBadSecondLeavesFewLines() {
    for (int i = 0; i < 1000; i++) {
      trail.responded(taken("t" + i, 0), HttpResponseStatus.BAD_GATEWAY, 100 * MS);
    }
    assertTrue(lines.size() < 10, "lines: " + lines.size());
    trail.responded(taken("later", 1200 * MS), HttpResponseStatus.OK, 1300 * MS);
    assertTrue(lines.get(lines.size() - 1).contains("failed 1000;"), lines.get(lines.size() - 1));
  }
}
