package loadbalancer.proxy;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.RequestClass;
import loadbalancer.downstream.ClientPresence;
import loadbalancer.downstream.DownstreamRequest;
import loadbalancer.http.HeadMemory;
import loadbalancer.telemetry.TracedRequest;

/**
 * A client's request, from its acceptance until it is completed and its last attempt has ended.
 * Owns the received message, and releases it on completion. Confined to the event loop.
 */
final class ProxiedRequest implements TracedRequest {

  private final DownstreamRequest downstream;
  private final String id;
  private final long acceptedAtNanos;
  private final List<ProxiedAttempt> attempts = new ArrayList<>(1);
  private Future<?> expiryTimer;
  private int attemptsInFlight;
  private boolean isClientHalfClosed;
  private boolean isAbandoned;
  private boolean isCompleted;

  /**
   * Creates a request in flight, which takes ownership of the received message.
   *
   * @param id identifies the request to the decision engine, as clients may reuse trace ids
   */
  ProxiedRequest(DownstreamRequest downstream, String id, long acceptedAtNanos) {
    this.downstream = downstream;
    this.id = id;
    this.acceptedAtNanos = acceptedAtNanos;
  }

  String id() {
    return id;
  }

  /** Returns the request as received from the client. */
  DownstreamRequest downstream() {
    return downstream;
  }

  /** Returns the event that notifies the decision engine of the request's arrival. */
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
  public long connectionNumber() {
    return downstream.responseSink().connectionNumber();
  }

  @Override
  public boolean hasClientLeft() {
    return isClientHalfClosed || isAbandoned;
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

  /** Records that the end of an attempt is being delivered to the decision engine. */
  void markAttemptEndDelivered() {
    attemptsInFlight--;
  }

  /** Returns whether the end of any attempt has not been delivered to the decision engine yet. */
  boolean hasAttemptsInFlight() {
    return attemptsInFlight > 0;
  }

  /**
   * Sets the timer that completes the request after its deadline. It is cancelled on completion.
   */
  void setExpiryTimer(Future<?> timer) {
    expiryTimer = timer;
  }

  /** Records that the client has closed its sending side. */
  void markClientHalfClosed() {
    isClientHalfClosed = true;
  }

  /** Records that the client has closed its connection before the final response. */
  void markAbandoned() {
    isAbandoned = true;
  }

  boolean isClientHalfClosed() {
    return isClientHalfClosed;
  }

  /** Returns whether the request has its final response or its client has disconnected. */
  boolean isCompleted() {
    return isCompleted;
  }

  /** Returns whether the client waits for a response, as far as its input up to now shows. */
  ClientPresence clientPresence() {
    return isCompleted || isClientHalfClosed
        ? ClientPresence.GONE
        : downstream.responseSink().clientPresence();
  }

  /** Completes the request without a response; a no-op if it is completed. */
  void complete() {
    if (!isCompleted) {
      isCompleted = true;
      HeadMemory.release(downstream.message().headers());
      downstream.message().release();
      if (expiryTimer != null) {
        expiryTimer.cancel(false);
      }
    }
  }

  /**
   * Completes the request with its final response; the parameters are those of {@link
   * loadbalancer.downstream.ResponseSink#respond}.
   */
  void respond(
      HttpResponseStatus status, long retryAfterNanos, CharSequence contentType, ByteBuf content) {
    complete();
    downstream.responseSink().respond(status, retryAfterNanos, contentType, content);
  }

  /**
   * Returns whether a successful response to an attempt that has been written has arrived or may
   * still arrive.
   */
  boolean mayGetUpstreamResponse() {
    for (ProxiedAttempt attempt : attempts) {
      if (attempt.mayGetUpstreamResponse()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether any endpoint may have run the request, as far as is known now. */
  boolean mayHaveRun() {
    return mayHaveRunExcluding(null);
  }

  /** Returns whether any endpoint may have run the request by an attempt other than this one. */
  boolean mayHaveRunExcluding(ProxiedAttempt excluded) {
    for (ProxiedAttempt attempt : attempts) {
      if (attempt != excluded && attempt.mayHaveRun()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns the clock reading at which the first dedup window of an attempt that may have run or
   * may still run ends; {@link Long#MAX_VALUE} if there is none. After it, an endpoint no longer
   * recognises a repeated request by its idempotency key, and could run it twice.
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
