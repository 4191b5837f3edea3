package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import loadbalancer.soak.RequestRecord.Outcome;
import loadbalancer.soak.Violation.Rule;

/**
 * Checks the invariants after a run, from the requests and responses of the clients and the
 * attempts that reached the upstreams.
 */
final class InvariantChecker {

  /** A response after the deadline is worthless, but violates a rule only if later than this. */
  private static final long MAX_LATE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Tolerance added to time limits because real sockets delay events. */
  private static final long SOCKET_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Maximum time between a client's close and the start of an attempt of its request. */
  private static final long CLIENT_CLOSE_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Maximum excess of the remaining time that an attempt states over the actual one. */
  private static final long DEADLINE_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /**
   * Number of allowed attempts in a slow start window below which a larger margin for random
   * variation applies.
   */
  private static final int SMALL_ALLOWANCE = 30;

  /**
   * An overload is a violation only if more than this fraction of its attempts come from proxies
   * notified of the endpoint's start.
   */
  private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

  private final Deployment deployment;
  private final AttemptLog attempts;
  private final NotificationLog notifications;
  private final List<? extends ProxyHistory> proxies;
  private final List<Violation> violations = new ArrayList<>();

  InvariantChecker(
      Deployment deployment,
      AttemptLog attempts,
      NotificationLog notifications,
      List<? extends ProxyHistory> proxies) {
    this.deployment = deployment;
    this.attempts = attempts;
    this.notifications = notifications;
    this.proxies = proxies;
  }

  /** Returns the violations of the requests, in the order of their times. */
  List<Violation> check(Collection<RequestRecord> requests) {
    Map<String, RequestRecord> byTrace = new TreeMap<>();
    for (RequestRecord request : requests) {
      byTrace.put(request.traceId, request);
      checkResponse(request);
      checkExecutions(request);
      attempts.of(request.traceId).forEach(attempt -> checkAttempt(request, attempt));
    }
    checkSlowStart(attempt -> byTrace.get(attempt.traceId()).proxy);
    violations.sort(Comparator.comparingLong(Violation::atNanos));
    return violations;
  }

  private void report(Rule rule, long atNanos, String traceId, String detail) {
    violations.add(new Violation(rule, atNanos, traceId, detail));
  }

  private void checkResponse(RequestRecord request) {
    long lateNanos = request.endNanos - request.deadlineNanos();
    boolean unanswered = request.outcome == Outcome.CLOSED || request.outcome == Outcome.UNANSWERED;
    ProxyHistory proxy = proxies.get(request.proxy);
    if (unanswered && !proxy.hasKillLost(request)) {
      report(Rule.DROPPED_REQUEST, request.endNanos, request.traceId, request.outcome.toString());
    } else if (request.outcome == Outcome.RESPONSE && lateNanos > MAX_LATE_NANOS) {
      report(Rule.DROPPED_REQUEST, request.endNanos, request.traceId, "late by " + lateNanos);
    }
    boolean served = request.outcome == Outcome.RESPONSE && request.status == 200;
    if (served && !isOwnResponse(request)) {
      report(Rule.WRONG_RESPONSE, request.endNanos, request.traceId, request.body);
    }
  }

  private boolean isOwnResponse(RequestRecord request) {
    return attempts.of(request.traceId).stream()
        .anyMatch(attempt -> request.body.equals(attempt.traceId() + " by " + attempt.endpoint()));
  }

  private void checkExecutions(RequestRecord request) {
    List<Attempt> ranAttempts = attempts.of(request.traceId).stream().filter(Attempt::ran).toList();
    if (request.kind.effect() == RequestKind.Effect.AT_MOST_ONCE && ranAttempts.size() > 1) {
      report(
          Rule.DUPLICATE,
          ranAttempts.get(1).firstByteNanos(),
          request.traceId,
          ranAttempts.size() + " attempts");
    }
    boolean rejected = request.status == 429 || request.status == 503;
    if (request.kind.effect() == RequestKind.Effect.AT_MOST_ONCE
        && rejected
        && !ranAttempts.isEmpty()) {
      report(Rule.DUPLICATE, request.endNanos, request.traceId, "rejected, but may have run");
    }
    if (request.kind.effect() == RequestKind.Effect.DEDUPLICATED && ranAttempts.size() > 1) {
      checkDedupWindow(request, ranAttempts);
    }
  }

  private void checkDedupWindow(RequestRecord request, List<Attempt> ranAttempts) {
    long window = TimeUnit.MILLISECONDS.toNanos(request.kind.dedupWindowMillis());
    long age =
        ranAttempts.get(ranAttempts.size() - 1).firstByteNanos()
            - ranAttempts.get(0).lastByteNanos();
    if (age > window + SOCKET_SLACK_NANOS) {
      report(
          Rule.DUPLICATE, ranAttempts.get(0).lastByteNanos() + age, request.traceId, "window over");
    }
  }

  private void checkAttempt(RequestRecord request, Attempt attempt) {
    long drainKnownFrom =
        notifications.drainKnownFromNanos(
            request.proxy, attempt.endpoint(), attempt.startedUnixMillis());
    long grace = TimeUnit.MILLISECONDS.toNanos(deployment.drainGraceMillis());
    if (drainKnownFrom != Long.MAX_VALUE
        && attempt.firstByteNanos() > drainKnownFrom + grace + SOCKET_SLACK_NANOS) {
      long after = TimeUnit.NANOSECONDS.toMillis(attempt.firstByteNanos() - drainKnownFrom);
      report(
          Rule.DRAINING_ENDPOINT,
          attempt.firstByteNanos(),
          request.traceId,
          attempt.endpoint() + " by n" + request.proxy + ", " + after + " ms after notification");
    }
    if (request.closedNanos != 0
        && attempt.firstByteNanos() > request.closedNanos + CLIENT_CLOSE_SLACK_NANOS
        && !proxies.get(request.proxy).wasPaused(request.closedNanos, attempt.firstByteNanos())) {
      long after = TimeUnit.NANOSECONDS.toMillis(attempt.firstByteNanos() - request.closedNanos);
      report(
          Rule.CLIENT_GONE,
          attempt.firstByteNanos(),
          request.traceId,
          "attempt " + after + " ms after the close");
    }
    checkRemainingTime(request, attempt);
  }

  private void checkRemainingTime(RequestRecord request, Attempt attempt) {
    long leftNanos = request.deadlineNanos() - attempt.firstByteNanos();
    long statedNanos = TimeUnit.MILLISECONDS.toNanos(attempt.remainingMillis());
    if (attempt.remainingMillis() >= 0 && statedNanos > leftNanos + DEADLINE_SLACK_NANOS) {
      report(
          Rule.DEADLINE_PROPAGATION,
          attempt.firstByteNanos(),
          request.traceId,
          "stated " + statedNanos / 1_000_000 + " ms, left " + leftNanos / 1_000_000 + " ms");
    }
  }

  // ---- Slow start ------------------------------------------------------------------------------

  private void checkSlowStart(ToIntFunction<Attempt> proxyIndexOf) {
    Map<String, List<Attempt>> byIncarnation = new TreeMap<>();
    for (List<Attempt> all : attempts.all()) {
      for (Attempt attempt : all) {
        if (attempt.startedUnixMillis() > 0) {
          String incarnation = attempt.endpoint() + "@" + attempt.startedUnixMillis();
          byIncarnation.computeIfAbsent(incarnation, name -> new ArrayList<>()).add(attempt);
        }
      }
    }
    byIncarnation.forEach((name, all) -> checkIncarnation(name, all, proxyIndexOf));
  }

  private void checkIncarnation(
      String name, List<Attempt> all, ToIntFunction<Attempt> proxyIndexOf) {
    all.sort(Comparator.comparingLong(Attempt::lastByteNanos));
    long window = TimeUnit.MILLISECONDS.toNanos(deployment.overloadWindowMillis());
    int first = 0;
    for (int last = 0; last < all.size(); last++) {
      while (all.get(last).lastByteNanos() - all.get(first).lastByteNanos() > window) {
        first++;
      }
      List<Attempt> inWindow = all.subList(first, last + 1);
      double allowed = allowedAttempts(all.get(last));
      if (inWindow.size() > withMargin(allowed) && isFromNotifiedProxies(inWindow, proxyIndexOf)) {
        report(
            Rule.SLOW_START,
            all.get(last).lastByteNanos(),
            all.get(last).traceId(),
            name + " got " + inWindow.size() + " attempts, allowed: " + withMargin(allowed));
        return;
      }
    }
  }

  /**
   * Returns the number of attempts that the settings allow in the window that ends with an attempt.
   */
  private double allowedAttempts(Attempt attempt) {
    long wallOffset = System.currentTimeMillis() - TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    double ageMillis =
        TimeUnit.NANOSECONDS.toMillis(attempt.lastByteNanos())
            + wallOffset
            - attempt.startedUnixMillis();
    double slowStartProgress = Math.min(1, Math.max(0, ageMillis / deployment.slowStartMillis()));
    if (slowStartProgress >= 1) {
      return Double.POSITIVE_INFINITY;
    }
    double capacity = deployment.initialCapacity() * (1 - slowStartProgress) + slowStartProgress;
    return deployment.overloadMultiple()
        * capacity
        * deployment.endpointCapacity()
        * deployment.overloadWindowMillis()
        / TimeUnit.SECONDS.toMillis(1);
  }

  private static double withMargin(double allowed) {
    return allowed < SMALL_ALLOWANCE
        ? allowed + 3 * Math.sqrt(allowed) + 3
        : allowed + 2 * Math.sqrt(allowed) + 2;
  }

  private boolean isFromNotifiedProxies(
      List<Attempt> inWindow, ToIntFunction<Attempt> proxyIndexOf) {
    long notified =
        inWindow.stream()
            .filter(
                attempt ->
                    attempt.firstByteNanos()
                        > notifications.startKnownFromNanos(
                            proxyIndexOf.applyAsInt(attempt),
                            attempt.endpoint(),
                            attempt.startedUnixMillis()))
            .count();
    return notified > MIN_NOTIFIED_FRACTION * inWindow.size();
  }
}
