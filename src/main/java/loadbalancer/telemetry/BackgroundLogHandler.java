package loadbalancer.telemetry;

import java.io.PrintStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;

/**
 * Writes log lines on a separate thread, because the reader of the log may be slow or absent and
 * the event loop must not block on it. Lines that do not fit into the queue are dropped and
 * counted.
 */
public final class BackgroundLogHandler extends Handler {

  /**
   * The capacity of the queue. It holds minutes of log at a few lines a second, and little memory
   * even under the smallest memory limit.
   */
  private static final int MAX_QUEUED_LINES = 1024;

  /** The longest time for which the process waits at its end for queued lines to be written. */
  private static final long MAX_FLUSH_MILLIS = 200;

  private static final long FLUSH_CHECK_MILLIS = 2;

  private final PrintStream out;
  private final BlockingQueue<String> lines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong dropped = new AtomicLong();

  /** The number of lines that have been accepted and not yet written. */
  private final AtomicLong pending = new AtomicLong();

  /** Creates a handler and starts its writer thread, which does not keep the process alive. */
  BackgroundLogHandler(PrintStream out) {
    this.out = out;
    setFormatter(new SimpleFormatter());
    Thread writer = new Thread(this::writeAll, "log-writer");
    writer.setDaemon(true);
    writer.start();
  }

  /** Replaces all log handlers of the process by one that writes to a stream. */
  public static void install(PrintStream out) {
    LogManager.getLogManager().reset();
    Logger.getLogger("").addHandler(new BackgroundLogHandler(out));
  }

  /** Waits briefly for the lines logged so far to be written, before the process is halted. */
  public static void flushAll() {
    for (Handler handler : Logger.getLogger("").getHandlers()) {
      handler.flush();
    }
  }

  @Override
  public void publish(LogRecord entry) {
    if (!isLoggable(entry)) {
      return;
    }
    pending.incrementAndGet();
    if (!lines.offer(getFormatter().format(entry))) {
      pending.decrementAndGet();
      dropped.incrementAndGet();
    }
  }

  private void writeAll() {
    try {
      while (true) {
        out.print(lines.take());
        long droppedCount = dropped.getAndSet(0);
        if (droppedCount > 0) {
          out.println("log_lines_dropped count=" + droppedCount);
        }
        pending.decrementAndGet();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void flush() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_FLUSH_MILLIS);
    try {
      while (pending.get() > 0 && System.nanoTime() < deadlineNanos) {
        TimeUnit.MILLISECONDS.sleep(FLUSH_CHECK_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    flush();
  }
}
