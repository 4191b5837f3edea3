package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests a proxy under clients that send without end and reconnect when they are disconnected. */
class FloodTest {

  private static final long REQUEST_DEADLINE_MILLIS = 800;
  private static final long SERVE_MILLIS = 3000;
  private static final int FLOODING_CLIENTS = 2;

  /** Time from SIGTERM to SIGKILL for the longest deadline of the deployment. */
  private static final long KILL_AFTER_TERM_MILLIS = 2300;

  @TempDir Path folder;

  private static void flood(SingleProxy proxy, AtomicBoolean running) {
    String garbage = "x".repeat(1 << 18);
    while (running.get()) {
      try (ClientConnection client = proxy.connect()) {
        while (running.get()) {
          client.write(garbage);
        }
      } catch (IOException e) {
        // The proxy closed the connection; reconnect.
        continue;
      }
    }
  }

  @Test
  void servesOthersAndShutsDownInTimeUnderAFlood() throws IOException, InterruptedException {
    try (SingleProxy proxy = new SingleProxy(folder, Deployment.of(1, 2), 0, 0).start();
        ClientConnection client = proxy.connect()) {
      AtomicBoolean running = new AtomicBoolean(true);
      for (int i = 0; i < FLOODING_CLIENTS; i++) {
        Thread thread = new Thread(() -> flood(proxy, running), "flood");
        thread.setDaemon(true);
        thread.start();
      }
      long until = System.nanoTime() + SERVE_MILLIS * 1_000_000;
      while (System.nanoTime() < until) {
        String request = proxy.readRequest(REQUEST_DEADLINE_MILLIS);
        assertEquals(200, SingleProxy.exchange(client, request, REQUEST_DEADLINE_MILLIS).status());
        Thread.sleep(20);
      }
      proxy.process.terminate();
      boolean ended = proxy.process.awaitExit(KILL_AFTER_TERM_MILLIS);
      running.set(false);
      assertTrue(ended, "does not end before SIGKILL");
      assertEquals(0, proxy.process.exitValue());
    }
  }
}
