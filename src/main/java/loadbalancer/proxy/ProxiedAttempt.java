package loadbalancer.proxy;

import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.telemetry.TracedAttempt;
import loadbalancer.upstream.UpstreamCall;

/** One attempt of a request at an endpoint. Confined to the event loop. */
final class ProxiedAttempt implements TracedAttempt {

  private final int index;
  private final long startedAtNanos;
  private UpstreamCall call;
  private AttemptStatus endStatus;
  private long latencyNanos;

  /**
   * Creates an attempt without a call, which {@link #setCall} must set.
   *
   * @param index number of the attempt within its request, counted from 0
   */
  ProxiedAttempt(int index, long startedAtNanos) {
    this.index = index;
    this.startedAtNanos = startedAtNanos;
  }

  /** Sets the call that carries out the attempt. */
  void setCall(UpstreamCall call) {
    this.call = call;
  }

  /** Records how the attempt ended. */
  void recordEnd(AttemptStatus endStatus, long nowNanos) {
    this.endStatus = endStatus;
    latencyNanos = nowNanos - startedAtNanos;
  }

  int index() {
    return index;
  }

  UpstreamCall call() {
    return call;
  }

  /**
   * Returns whether the attempt has been written and a successful response to it has arrived or may
   * still arrive.
   */
  boolean mayGetUpstreamResponse() {
    return endStatus == null ? call.isWritten() : endStatus == AttemptStatus.SUCCESS;
  }

  /** Returns whether the endpoint may have run the request, as far as is known now. */
  boolean mayHaveRun() {
    return endStatus == null ? call.isWritten() : !endStatus.provesNotRun();
  }

  /** Returns whether the endpoint has certainly not run the request and will not run it. */
  boolean isProvenNotRun() {
    return endStatus != null && endStatus.provesNotRun();
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
    return endStatus;
  }

  @Override
  public long latencyNanos() {
    return latencyNanos;
  }
}
