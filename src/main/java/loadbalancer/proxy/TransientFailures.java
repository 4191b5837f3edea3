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
 * Retries operations that may fail temporarily for lack of descriptors, buffers or addresses: the
 * steps of a start and reading the configuration. Must not be used on an event loop.
 */
final class TransientFailures {

  private static final Logger LOG = Logger.getLogger(TransientFailures.class.getName());

  /** Time after which a failure that persists is thrown, so that an operator learns of it. */
  private static final long MAX_RETRY_MILLIS = 3000;

  private static final long RETRY_INTERVAL_MILLIS = 20;

  private TransientFailures() {}

  /** An operation that can be repeated after it has failed. */
  @FunctionalInterface
  interface Operation<T> {
    /** Performs the operation and returns its result. */
    T run() throws IOException;
  }

  /**
   * Performs an operation until it succeeds, fails permanently, or has failed for some time.
   *
   * @param event the event name of failures in the log
   * @throws IOException the last failure
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
      throw new InterruptedIOException("interrupted between two attempts");
    }
  }
}
