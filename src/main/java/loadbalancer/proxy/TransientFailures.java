package loadbalancer.proxy;

import io.netty.channel.ChannelException;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.NoSuchFileException;
import java.util.concurrent.TimeUnit;
import java.util.logging.Logger;
import loadbalancer.telemetry.LogValues;

/**
 * Repeats steps that the system may fail for a moment, for want of descriptors, buffers or
 * addresses: those of a start, and the reading of a configuration. For any thread but an event
 * loop's.
 */
final class TransientFailures {

  private static final Logger LOG = Logger.getLogger(TransientFailures.class.getName());

  /** A process that cannot start for so long reports it, for an operator to look. */
  private static final long MAX_RETRY_MILLIS = 3000;

  private static final long RETRY_INTERVAL_MILLIS = 20;

  private TransientFailures() {}

  /** A step that can be repeated after it has failed. */
  @FunctionalInterface
  interface Operation<T> {
    /** Takes the step. */
    T run() throws IOException;
  }

  /**
   * Takes a step until it succeeds, or has failed for some time.
   *
   * @param event what the log calls a failure
   * @throws IOException the last failure, also if repeating could not help
   */
  static <T> T retry(String event, Operation<T> operation) throws IOException {
    long retryDeadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_RETRY_MILLIS);
    for (int failures = 0; ; failures++) {
      try {
        T result = operation.run();
        if (failures > 0) {
          LOG.info(event + " failures=" + failures + " recovered=true");
        }
        return result;
      } catch (IOException | ChannelException | IllegalStateException e) {
        if (!isTransient(e) || System.nanoTime() >= retryDeadlineNanos) {
          throw e;
        }
        if (failures == 0) {
          LOG.warning(event + " reason=" + LogValues.quote(e.toString()) + " retried=true");
        }
      }
      pause();
    }
  }

  private static boolean isTransient(Exception failure) {
    return !(failure instanceof NoSuchFileException || failure instanceof AccessDeniedException);
  }

  private static void pause() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new InterruptedIOException("interrupted between two tries");
    }
  }
}
