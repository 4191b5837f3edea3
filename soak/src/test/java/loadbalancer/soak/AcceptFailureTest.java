package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.soak.ClientConnection.Response;
import loadbalancer.soak.FaultControl.Call;
import loadbalancer.soak.FaultControl.Errno;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that clients are served although {@code accept} fails temporarily, that the time that they
 * wait to be accepted counts towards their deadline, and that the proxy does not retry in a busy
 * loop.
 */
class AcceptFailureTest {

  private static final int CLIENTS = 4;

  /** Connections that Netty accepts on a listener before it handles other channels. */
  private static final int ACCEPTS_PER_ITERATION = 16;

  private static final long REQUEST_DEADLINE_MILLIS = 800;

  @TempDir Path folder;

  private SingleProxy start() throws IOException, InterruptedException {
    return new SingleProxy(folder, Deployment.of(1, 2), 0, 0).start();
  }

  /** Accept fails for at least 0.7 s after SIGTERM. The listener is due to close after 0.55 s. */
  @Test
  void servesClientsThatCouldNotBeAcceptedBeforeTheListenerWasToClose()
      throws IOException, InterruptedException {
    try (SingleProxy proxy = start()) {
      proxy.process.faults().failAll(Call.ACCEPT, Errno.ENFILE);
      proxy.process.terminate();
      proxy.awaitLog("shutdown_started");
      Thread.sleep(200);
      List<ClientConnection> clients = new ArrayList<>();
      for (int i = 0; i < CLIENTS; i++) {
        ClientConnection client = proxy.connect();
        client.write(proxy.readRequest(REQUEST_DEADLINE_MILLIS));
        clients.add(client);
      }
      Thread.sleep(500);
      proxy.process.faults().clear(Call.ACCEPT);
      long until = System.nanoTime() + 1_000_000 * REQUEST_DEADLINE_MILLIS;
      for (ClientConnection client : clients) {
        Response response = client.read(until);
        assertEquals(200, response.status(), () -> "ended by " + response.end());
        client.close();
      }
    }
  }

  @Test
  void acceptsTheNextClientSoonAfterAFailure() throws IOException, InterruptedException {
    try (SingleProxy proxy = start()) {
      for (Errno error :
          List.of(Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS, Errno.ECONNABORTED, Errno.EINTR)) {
        proxy.process.faults().failNext(Call.ACCEPT, 1, error);
        try (ClientConnection client = proxy.connect()) {
          long before = System.nanoTime();
          assertEquals(
              200, SingleProxy.exchange(client, proxy.readRequest(400), 400).status(), error::name);
          long tookMillis = (System.nanoTime() - before) / 1_000_000;
          assertTrue(tookMillis < 200, () -> error + " delayed a client by " + tookMillis + " ms");
        }
      }
      assertTrue(proxy.process.log().contains("accept_failed"), proxy.process.log());
    }
  }

  /** The time that a connection waits to be accepted counts towards the deadline. */
  @Test
  void statesNoMoreThanTheRemainingTimeAfterTheWait() throws IOException, InterruptedException {
    assertStatesNoMoreThanTheRemainingTime(false);
  }

  /** The request of a connection that waited to be accepted is read in many pieces. */
  @Test
  void statesNoMoreThanTheRemainingTimeWithShortReads() throws IOException, InterruptedException {
    assertStatesNoMoreThanTheRemainingTime(true);
  }

  private void assertStatesNoMoreThanTheRemainingTime(boolean shortReads)
      throws IOException, InterruptedException {
    try (SingleProxy proxy = start();
        ClientConnection client = connectWhileAcceptFails(proxy)) {
      if (shortReads) {
        proxy.process.faults().cutShort(Call.READ, 7);
      }
      long sentNanos = System.nanoTime();
      client.write(SingleProxy.readRequest("waiting", REQUEST_DEADLINE_MILLIS));
      Thread.sleep(400);
      proxy.process.faults().clear(Call.ACCEPT);
      assertEquals(200, client.read(sentNanos + 1_000_000 * REQUEST_DEADLINE_MILLIS).status());
      Attempt attempt = proxy.attempts.of("waiting").get(0);
      long leftMillis =
          REQUEST_DEADLINE_MILLIS - (attempt.firstByteNanos() - sentNanos) / 1_000_000;
      assertTrue(
          attempt.remainingMillis() <= leftMillis + 150,
          () -> "stated " + attempt.remainingMillis() + " ms, left " + leftMillis + " ms");
    }
  }

  /**
   * Exactly as many clients wait as are accepted in one event loop iteration, and the next one
   * connects much later. Its wait must not be counted from the earlier failure.
   */
  @Test
  void countsNoWaitOnceTheQueueWasEmpty() throws IOException, InterruptedException {
    try (SingleProxy proxy = start()) {
      proxy.process.faults().failAll(Call.ACCEPT, Errno.ENFILE);
      List<ClientConnection> waiting = new ArrayList<>();
      for (int i = 0; i < ACCEPTS_PER_ITERATION; i++) {
        waiting.add(proxy.connect());
      }
      proxy.process.faults().clear(Call.ACCEPT);
      Thread.sleep(2 * REQUEST_DEADLINE_MILLIS);
      // The process is stopped, so that the request has arrived when its connection is accepted.
      proxy.process.sendSignal("STOP");
      try (ClientConnection client = proxy.connect()) {
        client.write(proxy.readRequest(REQUEST_DEADLINE_MILLIS));
        proxy.process.sendSignal("CONT");
        long until = System.nanoTime() + 1_000_000 * REQUEST_DEADLINE_MILLIS;
        assertEquals(200, client.read(until).status());
      }
      waiting.forEach(ClientConnection::close);
    }
  }

  private static ClientConnection connectWhileAcceptFails(SingleProxy proxy) throws IOException {
    proxy.process.faults().failAll(Call.ACCEPT, Errno.ENFILE);
    return proxy.connect();
  }

  @Test
  void doesNotSpinWhileAcceptFails() throws IOException, InterruptedException {
    try (SingleProxy proxy = start()) {
      proxy.process.faults().failAll(Call.ACCEPT, Errno.ENFILE);
      try (ClientConnection client = proxy.connect()) {
        client.write(proxy.readRequest(REQUEST_DEADLINE_MILLIS));
        Thread.sleep(1000);
        long failedCalls = proxy.process.faults().injected(Call.ACCEPT);
        assertTrue(
            failedCalls > 5 && failedCalls < 200,
            () -> failedCalls + " failed calls in a second, " + logOf(proxy));
      }
    }
  }

  private static String logOf(SingleProxy proxy) {
    try {
      return proxy.process.log();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
