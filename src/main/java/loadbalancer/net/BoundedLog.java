package loadbalancer.net;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A log of warnings that clients or endpoints can cause at any rate. Only a few a second are
 * written, and the others are counted: writing them would take the time and memory that requests
 * need. Safe for use by several threads.
 */
public final class BoundedLog {

  private static final int MAX_LINES_PER_PERIOD = 3;
  private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Logger logger;
  private final LongSupplier nowNanos;
  private long periodStartNanos;
  private int lineCount;
  private long suppressedCount;

  /** Creates a log that writes to a logger. */
  public BoundedLog(Logger logger) {
    this(logger, System::nanoTime);
  }

  BoundedLog(Logger logger, LongSupplier nowNanos) {
    this.logger = logger;
    this.nowNanos = nowNanos;
    periodStartNanos = nowNanos.getAsLong();
  }

  /**
   * Logs a warning, or counts it.
   *
   * @param cause logged with its stack trace; null for none
   */
  public synchronized void warn(String message, Throwable cause) {
    long now = nowNanos.getAsLong();
    if (now - periodStartNanos >= PERIOD_NANOS) {
      periodStartNanos = now;
      lineCount = 0;
    }
    if (lineCount >= MAX_LINES_PER_PERIOD) {
      suppressedCount++;
      return;
    }
    lineCount++;
    String suppressed = suppressedCount > 0 ? " suppressed=" + suppressedCount : "";
    suppressedCount = 0;
    logger.log(Level.WARNING, message + suppressed, cause);
  }
}
