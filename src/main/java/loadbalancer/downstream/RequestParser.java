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

/**
 * A parser that validates the headers of requests for {@link HttpProtocol#API_PATH} and reads their
 * values.
 */
public final class RequestParser {

  /**
   * Most digits that a whole number in a header may have; a larger number is not a valid timeout or
   * work hint.
   */
  private static final int MAX_DIGITS = 9;

  /**
   * Timeout of a request that states none; it exceeds every number of {@link #MAX_DIGITS} digits.
   */
  private static final long MAX_TIMEOUT_MILLIS = 1_000_000_000L;

  /**
   * Most characters that a trace id, tenant or affinity key may have, as these stay in memory
   * longer than the request.
   */
  private static final int MAX_IDENTIFIER_LENGTH = 128;

  /**
   * Time that is subtracted from the timeout for both ways through the network, as the client's
   * timeout runs from sending the request to receiving the response.
   */
  private static final long NETWORK_ALLOWANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final MonotonicClock clock;
  private final EventLoopLagMonitor lagMonitor;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Set<String> tenants = new HashSet<>();
  private long longestDeadlineNanos;

  /**
   * Creates a parser.
   *
   * @param settings the classes and tenants that requests may name
   * @param lagMonitor tells how long a request may have been unread
   */
  public RequestParser(Settings settings, MonotonicClock clock, EventLoopLagMonitor lagMonitor) {
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

  /** Returns the earliest clock reading at which a request that is read now may have arrived. */
  long earliestArrivalNanos() {
    return clock.nowNanos() - lagMonitor.lagNanos();
  }

  /** Returns the current clock reading. */
  long nowNanos() {
    return clock.nowNanos();
  }

  /**
   * Returns the clock reading at which a request's timeout ends, without an allowance for the
   * network. The timeout is at most the deadline of the request's class, or the longest deadline of
   * all classes if its class is unknown; a malformed timeout counts as 0.
   */
  long deadlineNanos(FullHttpRequest request, long arrivedAtNanos) {
    RequestClass requestClass = classes.get(request.headers().get(HttpProtocol.CLASS_HEADER, ""));
    long maxNanos = requestClass == null ? longestDeadlineNanos : requestClass.deadlineNanos();
    long timeoutMillis = Math.max(0, timeoutMillis(request.headers()));
    return arrivedAtNanos + Math.min(maxNanos, TimeUnit.MILLISECONDS.toNanos(timeoutMillis));
  }

  /**
   * Parses a decoded request without retaining it. Returns an error if it is invalid.
   *
   * @param arrivedAtNanos clock reading of its earliest possible arrival, from which its timeout
   *     runs
   * @param responseSink receives its response
   */
  RoutingResult parse(FullHttpRequest request, long arrivedAtNanos, ResponseSink responseSink) {
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
    return build(
        request, arrivedAtNanos, responseSink, traceId, requestClass, tenant, timeoutMillis);
  }

  /** Returns an error for an invalid tenant, and null for a valid one or none. */
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

  /**
   * Returns whether the idempotency key that the class requires is missing. Without it, no upstream
   * could drop the repetition of a request that has run.
   */
  private static boolean lacksIdempotencyKey(RequestClass requestClass, HttpHeaders headers) {
    return requestClass.idempotence() == Idempotence.IDEMPOTENCY_KEY
        && headers.get(HttpProtocol.IDEMPOTENCY_KEY_HEADER, "").isEmpty();
  }

  private DownstreamRequest build(
      FullHttpRequest request,
      long arrivedAtNanos,
      ResponseSink responseSink,
      String traceId,
      RequestClass requestClass,
      String tenant,
      long timeoutMillis) {
    HttpHeaders headers = request.headers();
    // The deadline of the class limits how long the request stays in memory, whatever its timeout.
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
        responseSink);
  }

  /**
   * Returns the timeout that a request states, {@link #MAX_TIMEOUT_MILLIS} if it states none, or -1
   * if its timeout header is not a whole number of at most {@link #MAX_DIGITS} digits.
   */
  private static long timeoutMillis(HttpHeaders headers) {
    String timeout = headers.get(HttpProtocol.TIMEOUT_HEADER);
    return timeout == null ? MAX_TIMEOUT_MILLIS : parseWholeNumber(timeout);
  }

  /** Returns the work hint of a request, or 0 if it is missing or invalid. */
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

  /** Returns the key, or its hash if it is too long, as keys stay in memory. */
  private static String hashIfTooLong(String key) {
    return key.length() <= MAX_IDENTIFIER_LENGTH ? key : Integer.toHexString(key.hashCode());
  }

  /**
   * Returns the value of a text of 1 to {@link #MAX_DIGITS} decimal digits, or -1 for any other
   * text.
   */
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
