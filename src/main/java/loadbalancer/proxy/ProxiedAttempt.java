package loadbalancer.proxy;

import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.telemetry.TracedAttempt;
import loadbalancer.upstream.UpstreamCall;

/** One attempt of a request at an endpoint. Confined to the event loop. */
final class ProxiedAttempt implements TracedAttempt {

  private final int index;
  private final long startedAtNanos;
  private UpstreamCall call;
  private AttemptStatus status;
  private long latencyNanos;

  /** The attempt with this index within its request, from 0; {@link #setCall} completes it. */
  ProxiedAttempt(int index, long startedAtNanos) {
    this.index = index;
    this.startedAtNanos = startedAtNanos;
  }

  /** Names the call that carries the attempt out. */
  void setCall(UpstreamCall call) {
    this.call = call;
  }

  /** Records how the attempt ended. */
  void recordEnd(AttemptStatus status, long nowNanos) {
    this.status = status;
    latencyNanos = nowNanos - startedAtNanos;
  }

  int index() {
    return index;
  }

  UpstreamCall call() {
    return call;
  }

  /** Whether a response may still come of it, or has come. */
  boolean mayGetResponse() {
    return status == null ? call.isWritten() : status == AttemptStatus.SUCCESS;
  }

  /** Whether the endpoint may have run the request, as far as is known now. */
  boolean mayHaveRun() {
    return status == null ? call.isWritten() : !status.provesNotRun();
  }

  /** Whether the endpoint has certainly not run the request, and never will. */
  boolean isProvenNotRun() {
    return status != null && status.provesNotRun();
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
