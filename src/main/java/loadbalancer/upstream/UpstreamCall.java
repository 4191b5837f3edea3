package loadbalancer.upstream;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.util.concurrent.Future;
import java.util.function.BooleanSupplier;
import loadbalancer.decision.api.AttemptStatus;

/** One request on its way to an upstream; it ends exactly once. */
public final class UpstreamCall {

  /** Told how a call ended; the answer is there where one came, and is the pool's to release. */
  public interface Ended {
    void ended(AttemptStatus status, FullHttpResponse answer);
  }

  public final long upstream;
  private final BooleanSupplier wanted;
  private final Ended ended;
  /** The connection it is on, from when one is opened or reused until the call ends. */
  public Channel channel;
  public Future<?> timeout;
  /** Its last byte has left: from here on it may have run. */
  public boolean written;
  private boolean done;

  /** {@code wanted} is asked right before the first byte goes out: much may have come between that and the decision. */
  public UpstreamCall(long upstream, BooleanSupplier wanted, Ended ended) {
    this.upstream = upstream;
    this.wanted = wanted;
    this.ended = ended;
  }

  public boolean isWanted() {
    return wanted.getAsBoolean();
  }

  boolean isDone() {
    return done;
  }

  /** Ends it, if nothing has yet. */
  public void end(AttemptStatus status, FullHttpResponse answer) {
    if (!done) {
      done = true;
      channel = null;
      if (timeout != null) {
        timeout.cancel(false);
      }
      ended.ended(status, answer);
    }
  }
}
