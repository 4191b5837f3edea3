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
   * The capacity of the queue. A full queue holds minutes of log at a few lines a second, and is
   * small even for the smallest memory limit.
   */
  private static final int MAX_QUEUED_LINES = 1024;

  /** The limit on the characters of all queued lines, for lines with stack traces. */
  private static final int MAX_QUEUED_CHARACTERS = 1 << 18;

  /** The longest time for which a flush waits for queued lines to be written. */
  private static final long MAX_FLUSH_MILLIS = 200;

  private static final long FLUSH_CHECK_MILLIS = 2;

  private final PrintStream out;
  private final BlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong droppedLineCount = new AtomicLong();

  /** The number of lines that have been accepted and not yet written. */
  private final AtomicLong unwrittenLineCount = new AtomicLong();

  /** The characters of the lines that have been accepted and not yet written. */
  private final AtomicLong unwrittenCharacterCount = new AtomicLong();

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
    String line = getFormatter().format(entry);
    unwrittenLineCount.incrementAndGet();
    long characterCount = unwrittenCharacterCount.addAndGet(line.length());
    if (characterCount > MAX_QUEUED_CHARACTERS || !queuedLines.offer(line)) {
      lineLeft(line);
      droppedLineCount.incrementAndGet();
    }
  }

  private void lineLeft(String line) {
    unwrittenCharacterCount.addAndGet(-line.length());
    unwrittenLineCount.decrementAndGet();
  }

  private void writeAll() {
    try {
      while (true) {
        String line = queuedLines.take();
        out.print(line);
        long droppedCount = droppedLineCount.getAndSet(0);
        if (droppedCount > 0) {
          out.println("log_lines_dropped count=" + droppedCount);
        }
        lineLeft(line);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void flush() {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_FLUSH_MILLIS);
    try {
      while (unwrittenLineCount.get() > 0 && System.nanoTime() < deadlineNanos) {
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
