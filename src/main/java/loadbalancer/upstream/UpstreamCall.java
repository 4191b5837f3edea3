package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import loadbalancer.decision.api.AttemptStatus;

/** One request on its way to an upstream; it ends exactly once. */
public final class UpstreamCall {

  /** Told how a call ended; the answer is there where one came, and is the pool's to release. */
  public interface CompletionListener {
    void completed(AttemptStatus status, FullHttpResponse response);
  }

  private final long endpointId;
  private final BooleanSupplier wanted;
  private final CompletionListener listener;
  /** The connection it is on, from when one is opened or reused until the call ends. */
  Channel channel;
  Future<?> timeout;
  /** Its last byte has left: from here on it may have run. */
  boolean written;
  private boolean done;

  /** {@code wanted} is asked right before the first byte goes out: much may have come between that and the decision. */
  public UpstreamCall(long endpointId, BooleanSupplier wanted, CompletionListener listener) {
    this.endpointId = endpointId;
    this.wanted = wanted;
    this.listener = listener;
  }

  public boolean isWanted() {
    return wanted.getAsBoolean();
  }

  /** The endpoint that it goes to. */
  public long endpointId() {
    return endpointId;
  }

  /** Whether its last byte has left: from then on it may have run. */
  public boolean isWritten() {
    return written;
  }

  boolean isDone() {
    return done;
  }

  /** Ends it, if nothing has yet. */
  public void complete(AttemptStatus status, FullHttpResponse answer) {
    if (!done) {
      done = true;
      channel = null;
      if (timeout != null) {
        timeout.cancel(false);
      }
      listener.completed(status, answer);
    }
  }
}
