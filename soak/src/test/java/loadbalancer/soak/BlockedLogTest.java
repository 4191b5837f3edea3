package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a proxy serves and shuts down although its log is a pipe that nobody reads. */
class BlockedLogTest {

  /** Capacity of a pipe on Linux. A write that does not fit blocks until a reader makes room. */
  private static final int PIPE_BYTES = 1 << 16;

  private static final long SERVE_MILLIS = 4000;
  private static final long REQUEST_DEADLINE_MILLIS = 800;
  private static final long INTERVAL_MILLIS = 20;

  @TempDir Path folder;

  @Test
  void servesAndShutsDownThoughItsLogIsFull() throws IOException, InterruptedException {
    Path pipe = folder.resolve("pipe");
    assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
    try (RandomAccessFile open = new RandomAccessFile(pipe.toFile(), "rw");
        SingleProxy proxy = new SingleProxy(folder, Deployment.of(1, 2), 0, 0)) {
      open.write(new byte[PIPE_BYTES]);
      proxy.process.setLogFile(pipe);
      proxy.process.start();
      assertEquals(true, proxy.process.awaitReady(SingleProxy.TIMEOUT_MILLIS), "is ready");
      assertServes(proxy);
      proxy.process.terminate();
      assertEquals(true, proxy.process.awaitExit(SingleProxy.TIMEOUT_MILLIS), "ends on SIGTERM");
      assertEquals(0, proxy.process.exitValue());
    }
    Files.delete(pipe);
  }

  /** Sends requests for longer than the interval between the log's summary lines. */
  private static void assertServes(SingleProxy proxy) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SERVE_MILLIS);
    try (ClientConnection client = proxy.connect()) {
      while (System.nanoTime() < until) {
        String request = proxy.readRequest(REQUEST_DEADLINE_MILLIS);
        assertEquals(200, SingleProxy.exchange(client, request, REQUEST_DEADLINE_MILLIS).status());
        Thread.sleep(INTERVAL_MILLIS);
      }
    }
  }
}
