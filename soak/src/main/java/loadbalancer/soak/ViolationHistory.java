package loadbalancer.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Describes the events that led to a violation: the course of the request and the disruptions. */
record ViolationHistory(
    List<RequestRecord> requests,
    AttemptLog attempts,
    NotificationLog notifications,
    List<ProxyNode> proxies,
    List<Disruption> disruptions,
    long startNanos) {

  private static final long DISRUPTION_LOOKBACK_MILLIS = 8000;
  private static final int MAX_LOG_LINES = 60;

  /** Returns the events before a violation, one per line, with times in ms from the run's start. */
  List<String> eventsBefore(Violation violation) throws IOException {
    List<String> lines = new ArrayList<>();
    for (RequestRecord request : requests) {
      if (request.traceId.equals(violation.traceId())) {
        addRequest(lines, request);
      }
    }
    long at = violation.atNanos() == Long.MAX_VALUE ? Long.MAX_VALUE : millis(violation.atNanos());
    for (Disruption disruption : disruptions) {
      if (disruption.atMillis() <= at && disruption.atMillis() > at - DISRUPTION_LOOKBACK_MILLIS) {
        lines.add("disruption " + disruption);
      }
    }
    return lines;
  }

  private void addRequest(List<String> lines, RequestRecord request) throws IOException {
    lines.add(
        "request "
            + request.traceId
            + " class "
            + request.kind.name()
            + " at n"
            + request.proxy
            + " incarnation "
            + request.incarnation
            + (request.firstOnConnection ? ", new connection" : ", reused connection"));
    lines.add("sent at " + millis(request.sentNanos) + " for " + request.remainingMillis + " ms");
    lines.addAll(request.events);
    for (Attempt attempt : attempts.of(request.traceId)) {
      lines.add("attempt at " + millis(attempt.firstByteNanos()) + ": " + attempt);
      for (NotificationLog.Notification notification : notifications.of(request.proxy)) {
        if (notification.entry().id().equals(attempt.endpoint())) {
          lines.add(
              "notified from " + millis(notification.fromNanos()) + ": " + notification.entry());
        }
      }
    }
    lines.add("end at " + millis(request.endNanos) + " " + request.outcome + " " + request.status);
    String[] log = proxies.get(request.proxy).process().log().split("\n", -1);
    int added = 0;
    for (String line : log) {
      boolean isRelevant =
          line.contains("trace_id=" + request.traceId + " ") || !line.contains("trace_id=");
      boolean isSummary = line.contains(" summary ");
      if (isRelevant && !isSummary && added++ < MAX_LOG_LINES) {
        lines.add("log " + line);
      }
    }
  }

  private long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos - startNanos);
  }
}
