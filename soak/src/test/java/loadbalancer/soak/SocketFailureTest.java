package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loadbalancer.soak.ClientConnection.Response;
import loadbalancer.soak.FaultControl.Call;
import loadbalancer.soak.FaultControl.Errno;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests temporary failures of socket system calls at the start and while serving. */
class SocketFailureTest {

  private static final long DEADLINE_MILLIS = 800;
  private static final int REQUESTS = 60;

  @TempDir Path folder;

  private SingleProxy prepare() throws IOException, InterruptedException {
    return new SingleProxy(folder, Deployment.of(1, 4), 0, 0, 0, 0);
  }

  @Test
  void bindsAgainAfterAFailure() throws IOException, InterruptedException {
    try (SingleProxy proxy = prepare()) {
      proxy.process.faults().failNext(Call.BIND, 3, Errno.ENOBUFS);
      proxy.start();
      assertTrue(proxy.process.log().contains("bind_failed"), proxy.process.log());
    }
  }

  /** The first sockets are those of the discovery client, the interface lookup or the listener. */
  @Test
  void startsThoughSocketsCannotBeCreatedForAMoment() throws IOException, InterruptedException {
    for (int failures : new int[] {1, 4, 16}) {
      try (SingleProxy proxy = prepare()) {
        proxy.process.faults().failNext(Call.SOCKET, failures, Errno.ENFILE);
        proxy.start();
      }
    }
  }

  /** No request has been sent, and the failures are not the endpoints' fault. */
  @Test
  void servesRequestsWhoseConnectionsCannotBeMadeForAMoment()
      throws IOException, InterruptedException {
    Map<Call, Errno> failures =
        Map.of(Call.CONNECT, Errno.EADDRNOTAVAIL, Call.SOCKET, Errno.ENFILE);
    for (Map.Entry<Call, Errno> failure : failures.entrySet()) {
      try (SingleProxy proxy = prepare().start()) {
        proxy.process.faults().failAll(failure.getKey(), failure.getValue());
        List<ClientConnection> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
          ClientConnection client = proxy.connect();
          client.write(proxy.readRequest(DEADLINE_MILLIS));
          clients.add(client);
        }
        Thread.sleep(300);
        proxy.process.faults().clear(failure.getKey());
        assertAllServed(clients, failure.toString());
      }
    }
  }

  private static void assertAllServed(List<ClientConnection> clients, String when) {
    long until = System.nanoTime() + 1_000_000 * DEADLINE_MILLIS;
    List<Integer> statuses = new ArrayList<>();
    for (ClientConnection client : clients) {
      Response response = client.read(until);
      statuses.add(response.status());
      client.close();
    }
    assertTrue(statuses.stream().allMatch(status -> status == 200), () -> when + ": " + statuses);
  }

  @Test
  void readsOnAfterAnInterruptedRead() throws IOException, InterruptedException {
    try (SingleProxy proxy = prepare().start()) {
      proxy.process.faults().failSome(Call.READ, 300_000, Errno.EINTR);
      List<ClientConnection> clients = new ArrayList<>();
      for (int i = 0; i < REQUESTS; i++) {
        ClientConnection client = proxy.connect();
        client.write(proxy.readRequest(DEADLINE_MILLIS));
        clients.add(client);
      }
      assertAllServed(clients, "interrupted reads");
      assertTrue(proxy.process.faults().injected(Call.READ) > 0, "no read was interrupted");
    }
  }

  @Test
  void servesWithShortReadsAndWritesAndInterruptedWaits() throws IOException, InterruptedException {
    try (SingleProxy proxy = prepare().start()) {
      proxy.process.faults().cutShort(Call.READ, 7);
      proxy.process.faults().cutShort(Call.WRITE, 11);
      proxy.process.faults().failSome(Call.WAIT, 300_000, Errno.EINTR);
      try (ClientConnection client = proxy.connect()) {
        for (int i = 0; i < REQUESTS; i++) {
          Response response =
              SingleProxy.exchange(client, proxy.readRequest(DEADLINE_MILLIS), DEADLINE_MILLIS);
          assertEquals(200, response.status());
        }
      }
      assertFalse(proxy.process.log().contains("Exception"), proxy.process.log());
    }
  }
}
