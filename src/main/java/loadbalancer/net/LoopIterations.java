package loadbalancer.net;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * The iterations of an event loop, each of which reads all ready sockets and then runs the tasks
 * that are due. Work that is done in parts, one an iteration, leaves time for the other sockets.
 * Confined to the event loop.
 */
public final class LoopIterations {

  private final EventLoop loop;
  private long current;
  private boolean isAdvanceScheduled;

  /** Creates a counter of an event loop's iterations. */
  public LoopIterations(EventLoop loop) {
    this.loop = loop;
  }

  /** Returns a number that is another one after the next read of the ready sockets. */
  public long current() {
    if (!isAdvanceScheduled) {
      isAdvanceScheduled = true;
      runInNext(this::advance);
    }
    return current;
  }

  private void advance() {
    isAdvanceScheduled = false;
    current++;
  }

  /**
   * Runs a task once ready sockets have been read again. A task that is executed without a delay
   * would run before that.
   */
  public void runInNext(Runnable task) {
    loop.schedule(task, 0, TimeUnit.NANOSECONDS);
  }
}
