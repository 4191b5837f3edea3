package loadbalancer.downstream;

import static loadbalancer.downstream.LocalReply.badRequest;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.cookie.Cookie;
import io.netty.handler.codec.http.cookie.ServerCookieDecoder;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.Tenant;
import loadbalancer.http.HttpProtocol;
import loadbalancer.net.MonotonicClock;
import loadbalancer.telemetry.EventLoopLagMonitor;

/** Validates the headers of requests for {@link HttpProtocol#API_PATH} and reads their values. */
final class RequestParser {

  /** A header that is a whole number has no more digits; a larger number is no time or work. */
  private static final int MAX_DIGITS = 9;

  /** Stands for the timeout of a request without one; exceeds every number of MAX_DIGITS digits. */
  private static final long MAX_TIMEOUT_MILLIS = 1_000_000_000L;

  /** Characters of a trace id, tenant or affinity key: these outlive the request in memory. */
  private static final int MAX_IDENTIFIER_LENGTH = 128;

  /** The client's timeout starts when it sends the request and ends when it has the response. */
  private static final long NETWORK_ALLOWANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final MonotonicClock clock;
  private final EventLoopLagMonitor lagMonitor;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Set<String> tenants = new HashSet<>();
  private long longestDeadlineNanos;

  RequestParser(Settings settings, MonotonicClock clock, EventLoopLagMonitor lagMonitor) {
    this.clock = clock;
    this.lagMonitor = lagMonitor;
    for (RequestClass requestClass : settings.classes()) {
      if (classes.put(requestClass.name(), requestClass) != null) {
        throw new IllegalStateException("two classes are named " + requestClass.name());
      }
      longestDeadlineNanos = Math.max(longestDeadlineNanos, requestClass.deadlineNanos());
    }
    for (Tenant tenant : settings.tenants()) {
      tenants.add(tenant.name());
    }
  }

  /** Clock reading at which a request that is read now arrived at the latest. */
  long earliestArrivalNanos() {
    return clock.nowNanos() - lagMonitor.lagNanos();
  }

  /** The present clock reading. */
  long nowNanos() {
    return clock.nowNanos();
  }

  /**
   * Clock reading at which a request's time is over: its class's deadline at the latest, or the
   * longest of all for one whose class is not known.
   */
  long deadlineNanos(FullHttpRequest request, long arrivedAtNanos) {
    RequestClass requestClass = classes.get(request.headers().get(HttpProtocol.CLASS_HEADER, ""));
    long maxNanos = requestClass == null ? longestDeadlineNanos : requestClass.deadlineNanos();
    long timeoutMillis = Math.max(0, timeoutMillis(request.headers()));
    return arrivedAtNanos + Math.min(maxNanos, TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
  }

  /**
   * Parses a decoded request without retaining it, or says what is wrong with it.
   *
   * @param arrivedAtNanos its {@link #earliestArrivalNanos}, from which its timeout runs
   * @param response where its response goes
   */
  RoutingResult parse(FullHttpRequest request, long arrivedAtNanos, ResponseSink response) {
    HttpHeaders headers = request.headers();
    String traceId = headers.get(HttpProtocol.TRACE_ID_HEADER, "");
    if (traceId.isEmpty() || traceId.length() > MAX_IDENTIFIER_LENGTH) {
      return badRequest(HttpProtocol.TRACE_ID_HEADER + " is missing or too long");
    }
    RequestClass requestClass = classes.get(headers.get(HttpProtocol.CLASS_HEADER, ""));
    if (requestClass == null) {
      return badRequest(HttpProtocol.CLASS_HEADER + " names no known class");
    }
    String tenant = headers.get(HttpProtocol.TENANT_HEADER);
    LocalReply invalidTenant = validateTenant(tenant);
    if (invalidTenant != null) {
      return invalidTenant;
    }
    long timeoutMillis = timeoutMillis(headers);
    if (timeoutMillis < 0) {
      return badRequest(HttpProtocol.TIMEOUT_HEADER + " is not a number of milliseconds");
    }
    if (lacksIdempotencyKey(requestClass, headers)) {
      return badRequest(HttpProtocol.IDEMPOTENCY_KEY_HEADER + " is missing");
    }
    return build(request, arrivedAtNanos, response, traceId, requestClass, tenant, timeoutMillis);
  }

  /** Null for a valid tenant, or none. */
  private LocalReply validateTenant(String tenant) {
    if (tenant == null) {
      return null;
    }
    if (!tenants.isEmpty() && !tenants.contains(tenant)) {
      return badRequest(HttpProtocol.TENANT_HEADER + " names no known tenant");
    }
    if (tenant.length() > MAX_IDENTIFIER_LENGTH) {
      return badRequest(HttpProtocol.TENANT_HEADER + " is too long");
    }
    return null;
  }

  /** Without the key no upstream could drop the repeat of a request that has run. */
  private static boolean lacksIdempotencyKey(RequestClass requestClass, HttpHeaders headers) {
    return requestClass.idempotence() == Idempotence.IDEMPOTENCY_KEY
        && headers.get(HttpProtocol.IDEMPOTENCY_KEY_HEADER, "").isEmpty();
  }

  private DownstreamRequest build(
      FullHttpRequest request,
      long arrivedAtNanos,
      ResponseSink response,
      String traceId,
      RequestClass requestClass,
      String tenant,
      long timeoutMillis) {
    HttpHeaders headers = request.headers();
    // The class's deadline bounds how long the request stays in memory, whatever its timeout.
    long timeoutNanos =
        Math.min(requestClass.deadlineNanos(), TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
    return new DownstreamRequest(
        traceId,
        requestClass,
        tenant,
        affinityKey(headers),
        workHintNanos(headers),
        "1".equals(headers.get(HttpProtocol.RETRY_HEADER)),
        arrivedAtNanos + timeoutNanos - NETWORK_ALLOWANCE_NANOS,
        clock.nowNanos() - arrivedAtNanos,
        request,
        response);
  }

  /** Negative for a header that is not a number. */
  private static long timeoutMillis(HttpHeaders headers) {
    String timeout = headers.get(HttpProtocol.TIMEOUT_HEADER);
    return timeout == null ? MAX_TIMEOUT_MILLIS : parseWholeNumber(timeout);
  }

  /** An invalid hint counts as none. */
  private static long workHintNanos(HttpHeaders headers) {
    long micros = parseWholeNumber(headers.get(HttpProtocol.WORK_HINT_HEADER, "0"));
    return TimeUnit.MICROSECONDS.toNanos(Math.max(0, micros));
  }

  private static String affinityKey(HttpHeaders headers) {
    for (String header : headers.getAll(HttpHeaderNames.COOKIE)) {
      for (Cookie cookie : ServerCookieDecoder.LAX.decode(header)) {
        if (cookie.name().equals(HttpProtocol.AFFINITY_COOKIE)) {
          return hashIfTooLong(cookie.value());
        }
      }
    }
    return null;
  }

  /** Keys stay in memory, so that a long one is replaced by its hash. */
  private static String hashIfTooLong(String key) {
    return key.length() <= MAX_IDENTIFIER_LENGTH ? key : Integer.toHexString(key.hashCode());
  }

  /** The number, or -1 for anything but 1 to {@link #MAX_DIGITS} decimal digits. */
  private static long parseWholeNumber(String text) {
    if (text.isEmpty() || text.length() > MAX_DIGITS) {
      return -1;
    }
    long number = 0;
    for (int i = 0; i < text.length(); i++) {
      char digit = text.charAt(i);
      if (digit < '0' || digit > '9') {
        return -1;
      }
      number = 10 * number + digit - '0';
    }
    return number;
  }
}
