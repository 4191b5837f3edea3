package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.decision.api.AttemptStatus;

/**
 * One request on its way to one endpoint. It completes exactly once, by whichever comes first of
 * its response, a failure, its timeout and its cancellation; what comes later is ignored. Confined
 * to the event loop.
 */
public final class UpstreamCall {

  /** Is notified once of how a call has completed. */
  public interface CompletionListener {

    /**
     * The call has completed.
     *
     * @param response the response, or null if there was none; the pool releases it after this call
     */
    void completed(AttemptStatus status, FullHttpResponse response);
  }

  private final long endpointId;
  private final BooleanSupplier shouldBeSent;
  private final CompletionListener listener;

  /** The connection that the call is on, from connecting or reuse until the call completes. */
  private Channel channel;

  private Future<?> timeout;
  private boolean isWritten;
  private boolean isDone;

  /**
   * Creates a call that has not been started.
   *
   * @param endpointId the endpoint that it goes to
   * @param shouldBeSent asked right before the first byte is written: much may have happened since
   *     the decision to send it
   * @param listener is notified of the outcome
   */
  public UpstreamCall(long endpointId, BooleanSupplier shouldBeSent, CompletionListener listener) {
    this.endpointId = endpointId;
    this.shouldBeSent = shouldBeSent;
    this.listener = listener;
  }

  /** Returns the endpoint that the call goes to. */
  public long endpointId() {
    return endpointId;
  }

  /** Returns whether the call may still be sent. */
  public boolean shouldBeSent() {
    return shouldBeSent.getAsBoolean();
  }

  /** Returns whether the last byte has been written: from then on the request may have run. */
  public boolean isWritten() {
    return isWritten;
  }

  /** Completes the call unless it has completed already. */
  public void complete(AttemptStatus status, FullHttpResponse response) {
    if (isDone) {
      return;
    }
    isDone = true;
    channel = null;
    if (timeout != null) {
      timeout.cancel(false);
    }
    listener.completed(status, response);
  }

  boolean isDone() {
    return isDone;
  }

  /** Limits the time until completion, connecting included. */
  void startTimeout(EventLoop loop, long timeoutNanos) {
    timeout = loop.schedule(this::timeOut, timeoutNanos, TimeUnit.NANOSECONDS);
  }

  void assignTo(Channel connection) {
    channel = connection;
  }

  void markWritten() {
    isWritten = true;
  }

  void cancel() {
    abandon(AttemptStatus.NOT_SENT, AttemptStatus.CANCELLED);
  }

  private void timeOut() {
    abandon(AttemptStatus.CONNECT_FAILED, AttemptStatus.TIMEOUT);
  }

  /** Stops waiting. The response may still come, so the connection cannot be reused. */
  private void abandon(AttemptStatus statusIfUnwritten, AttemptStatus statusIfWritten) {
    if (isDone) {
      return;
    }
    Channel abandoned = channel;
    complete(isWritten ? statusIfWritten : statusIfUnwritten, null);
    if (abandoned != null) {
      abandoned.close();
    }
  }
}
