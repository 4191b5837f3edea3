package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import loadbalancer.decision.api.AttemptStatus;

/**
 * One request to one endpoint. It completes exactly once: by its response, a failure, its timeout
 * or its cancellation, whichever comes first. Later events are ignored. Confined to the event loop.
 */
public final class UpstreamCall {

  /** Receives the outcome of a call exactly once. */
  public interface CompletionListener {

    /**
     * Called when the call has completed.
     *
     * @param response the response, or null if there was none; the pool releases it afterwards
     */
    void completed(AttemptStatus status, FullHttpResponse response);
  }

  private final long endpointId;
  private final BooleanSupplier shouldBeSent;
  private final CompletionListener listener;

  /** The connection of the call, set when connecting or reuse starts; null after completion. */
  private Channel channel;

  private Future<?> timeout;
  private boolean isWritten;
  private boolean isDone;

  /**
   * Creates a call that has not been started.
   *
   * @param endpointId the endpoint to which the request is sent
   * @param shouldBeSent checked immediately before the request is written, because its deadline may
   *     have passed or its endpoint may be draining by then
   * @param listener receives the outcome
   */
  public UpstreamCall(long endpointId, BooleanSupplier shouldBeSent, CompletionListener listener) {
    this.endpointId = endpointId;
    this.shouldBeSent = shouldBeSent;
    this.listener = listener;
  }

  /** Returns the endpoint to which the request is sent. */
  public long endpointId() {
    return endpointId;
  }

  /** Returns whether the request should still be sent. */
  public boolean shouldBeSent() {
    return shouldBeSent.getAsBoolean();
  }

  /** Returns whether the whole request has been written. From then on it may have run. */
  public boolean isWritten() {
    return isWritten;
  }

  /** Completes the call; does nothing if it has already completed. */
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

  /** Starts the timeout of the call, which includes the time to connect. */
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

  /**
   * Completes the call without a response and closes its connection, which cannot be reused because
   * the response may still arrive on it.
   */
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
