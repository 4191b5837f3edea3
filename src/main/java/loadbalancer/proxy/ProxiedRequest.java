package loadbalancer.proxy;

import loadbalancer.telemetry.TracedAttempt;
import loadbalancer.telemetry.TracedRequest;
import loadbalancer.downstream.DownstreamRequest;
import loadbalancer.http.HttpProtocol;
import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.downstream.DownstreamListener;
import loadbalancer.upstream.UpstreamCall;

/** A client's request in hand, from when it is taken until it is answered and its last attempt has ended. */
public final class ProxiedRequest implements TracedRequest {

  /** Headers that speak of one connection, not of the request. */
  private static final List<AsciiString> HOP_BY_HOP = List.of(HttpHeaderNames.CONNECTION,
      AsciiString.cached("keep-alive"), AsciiString.cached("proxy-connection"), HttpHeaderNames.TE,
      HttpHeaderNames.TRAILER, HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderNames.UPGRADE, HttpHeaderNames.EXPECT);

  private final DownstreamRequest request;
  private final List<Attempt> attempts = new ArrayList<>(1);
  /** What the decision engine knows it by: a client may use its own trace id again. */
  public String id;
  long acceptedAtNanos;
  Future<?> guard;
  int attemptsInFlight;
  boolean clientHalfClosed;
  private boolean ended;

  /** One attempt at an endpoint. */
  public static final class Attempt implements TracedAttempt {
    final int number;
    final long startedAtNanos;
    UpstreamCall call;
    AttemptStatus status;
    long latencyNanos;

    Attempt(int number, long startedAtNanos) {
      this.number = number;
      this.startedAtNanos = startedAtNanos;
    }

    @Override
    public long endpointId() {
      return call.endpointId();
    }

    @Override
    public long startedAtNanos() {
      return startedAtNanos;
    }

    @Override
    public AttemptStatus status() {
      return status;
    }

    @Override
    public long latencyNanos() {
      return latencyNanos;
    }
  }

  /** Takes over the request. */
  public ProxiedRequest(DownstreamRequest request) {
    this.request = request;
  }

  /** What the client sent. */
  DownstreamRequest downstream() {
    return request;
  }

  @Override
  public String traceId() {
    return request.traceId();
  }

  @Override
  public RequestClass requestClass() {
    return request.requestClass();
  }

  @Override
  public long acceptedAtNanos() {
    return acceptedAtNanos;
  }

  @Override
  public long deadlineNanos() {
    return request.deadlineNanos();
  }

  @Override
  public long unreadNanos() {
    return request.unreadNanos();
  }

  @Override
  public List<Attempt> attempts() {
    return attempts;
  }

  /** Whether it has its answer, or the client has gone. */
  boolean isEnded() {
    return ended;
  }

  /** Whether its client is there, and has not left since what was last read of it. */
  public boolean isAwaited() {
    return !ended && !clientHalfClosed && request.response().isAwaited();
  }

  /** Ends it without an answer: the client has gone. */
  void abandon() {
    if (!ended) {
      ended = true;
      request.message().release();
      if (guard != null) {
        guard.cancel(false);
      }
    }
  }

  /** Whether an answer may still come of what has been written, or has come. */
  boolean isSent() {
    return attempts.stream().anyMatch(a -> a.status == null ? a.call.isWritten() : a.status == AttemptStatus.SUCCESS);
  }

  boolean mayHaveRun() {
    return attempts.stream().anyMatch(a -> a.status == null ? a.call.isWritten() : !a.status.provesNotRun());
  }

  /** Until when it may be sent again: a keyed one that may have run already is dropped by its upstreams for so long only. */
  long repeatBy() {
    long by = Long.MAX_VALUE;
    for (Attempt a : attempts) {
      if (requestClass().idempotence() == Idempotence.IDEMPOTENCY_KEY && (a.status == null || !a.status.provesNotRun())) {
        by = Math.min(by, a.startedAtNanos + requestClass().dedupWindowNanos());
      }
    }
    return by;
  }

  public void answer(HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content) {
    abandon();
    request.response().respond(status, retryAfterNanos, contentType, content);
  }

  /** The request as it goes to an upstream. */
  FullHttpRequest forward(long timeoutNanos) {
    HttpHeaders headers = new DefaultHttpHeaders().set(request.message().headers());
    for (String named : request.message().headers().getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : named.split(",")) {
        headers.remove(name.trim());
      }
    }
    HOP_BY_HOP.forEach(headers::remove);
    headers.set(HttpProtocol.TIMEOUT_HEADER, Math.max(1, TimeUnit.NANOSECONDS.toMillis(timeoutNanos)));
    if (request.message().content().isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.message().content().readableBytes());
    }
    return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.message().method(), request.message().uri(),
        request.message().content().retainedDuplicate(), headers, EmptyHttpHeaders.INSTANCE);
  }
}
