package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.downstream.DownstreamRequest;
import loadbalancer.telemetry.TracedRequest;

/**
 * A client's request, from its acceptance until it is completed and its last attempt has ended. It
 * owns the received message, and releases it on completion. Confined to the event loop.
 */
final class ProxiedRequest implements TracedRequest {

  private final DownstreamRequest downstream;
  private final String id;
  private final long acceptedAtNanos;
  private final List<ProxiedAttempt> attempts = new ArrayList<>(1);
  private Future<?> expiryTimer;
  private int attemptsInFlight;
  private boolean clientHalfClosed;
  private boolean completed;

  /**
   * Takes over a request.
   *
   * @param id what the decision engine knows the request by; a client may reuse its own trace id
   */
  ProxiedRequest(DownstreamRequest downstream, String id, long acceptedAtNanos) {
    this.downstream = downstream;
    this.id = id;
    this.acceptedAtNanos = acceptedAtNanos;
  }

  String id() {
    return id;
  }

  /** What the client sent. */
  DownstreamRequest downstream() {
    return downstream;
  }

  /** The event that notifies the decision engine of its arrival. */
  RequestArrived arrivalEvent() {
    return new RequestArrived(
        id,
        downstream.requestClass().name(),
        downstream.tenant(),
        downstream.affinityKey(),
        downstream.deadlineNanos(),
        downstream.workHintNanos(),
        downstream.retry());
  }

  @Override
  public String traceId() {
    return downstream.traceId();
  }

  @Override
  public RequestClass requestClass() {
    return downstream.requestClass();
  }

  @Override
  public long acceptedAtNanos() {
    return acceptedAtNanos;
  }

  @Override
  public long deadlineNanos() {
    return downstream.deadlineNanos();
  }

  @Override
  public long unreadNanos() {
    return downstream.unreadNanos();
  }

  @Override
  public List<ProxiedAttempt> attempts() {
    return attempts;
  }

  /** Adds an attempt that is being started. */
  void addAttempt(ProxiedAttempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  /** One of its attempts has ended, and the decision engine is about to be told. */
  void markAttemptEndDelivered() {
    attemptsInFlight--;
  }

  /** Whether the decision engine has not been notified of the end of some attempt. */
  boolean hasAttemptsInFlight() {
    return attemptsInFlight > 0;
  }

  /** The timer that completes the request after its deadline; cancelled on completion. */
  void setExpiryTimer(Future<?> timer) {
    expiryTimer = timer;
  }

  /** The client has ended its sending. */
  void markClientHalfClosed() {
    clientHalfClosed = true;
  }

  boolean isClientHalfClosed() {
    return clientHalfClosed;
  }

  /** Whether it has its final response, or its client has disconnected. */
  boolean isCompleted() {
    return completed;
  }

  /** Whether its client is there and waits, by everything that has arrived from it up to now. */
  boolean isClientWaiting() {
    return !completed && !clientHalfClosed && downstream.response().isResponseAwaited();
  }

  /** Completes it without a response; a no-op where it is completed. */
  void complete() {
    if (!completed) {
      completed = true;
      downstream.message().release();
      if (expiryTimer != null) {
        expiryTimer.cancel(false);
      }
    }
  }

  /**
   * Completes it with its final response; parameters as in {@link
   * loadbalancer.downstream.ResponseSink#respond}.
   */
  void respond(
      HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content) {
    complete();
    downstream.response().respond(status, retryAfterNanos, contentType, content);
  }

  /** Whether a response may still come of an attempt that has been written, or has come. */
  boolean mayGetResponse() {
    for (ProxiedAttempt attempt : attempts) {
      if (attempt.mayGetResponse()) {
        return true;
      }
    }
    return false;
  }

  /** Whether some endpoint may have run it, as far as is known now. */
  boolean mayHaveRun() {
    return mayHaveRunExcluding(null);
  }

  /** Whether some endpoint may have run it by another attempt than this one. */
  boolean mayHaveRunExcluding(ProxiedAttempt excluded) {
    for (ProxiedAttempt attempt : attempts) {
      if (attempt != excluded && attempt.mayHaveRun()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Clock reading until which a further attempt may start. Endpoints recognise the repeat of a
   * request by its idempotency key for a limited time only, and may have run it already.
   */
  long dedupDeadlineNanos() {
    long deadline = Long.MAX_VALUE;
    if (requestClass().idempotence() != Idempotence.IDEMPOTENCY_KEY) {
      return deadline;
    }
    for (ProxiedAttempt attempt : attempts) {
      if (!attempt.isProvenNotRun()) {
        deadline = Math.min(deadline, attempt.startedAtNanos() + requestClass().dedupWindowNanos());
      }
    }
    return deadline;
  }
}
