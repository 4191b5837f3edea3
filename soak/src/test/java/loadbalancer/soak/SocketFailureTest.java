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

  private static final long REQUEST_DEADLINE_MILLIS = 800;
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

  /** The first sockets of a process are for the discovery client, interface lookup or listener. */
  @Test
  void startsThoughSocketsCannotBeCreatedForAMoment() throws IOException, InterruptedException {
    for (int failingCalls : new int[] {1, 4, 16}) {
      try (SingleProxy proxy = prepare()) {
        proxy.process.faults().failNext(Call.SOCKET, failingCalls, Errno.ENFILE);
        proxy.start();
      }
    }
  }

  /** No request has reached an endpoint, and the failures must not count against the endpoints. */
  @Test
  void servesRequestsWhoseConnectionsCannotBeMadeForAMoment()
      throws IOException, InterruptedException {
    Map<Call, Errno> errorByCall =
        Map.of(Call.CONNECT, Errno.EADDRNOTAVAIL, Call.SOCKET, Errno.ENFILE);
    for (Map.Entry<Call, Errno> failingCall : errorByCall.entrySet()) {
      try (SingleProxy proxy = prepare().start()) {
        proxy.process.faults().failAll(failingCall.getKey(), failingCall.getValue());
        List<ClientConnection> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
          ClientConnection client = proxy.connect();
          client.write(proxy.readRequest(REQUEST_DEADLINE_MILLIS));
          clients.add(client);
        }
        Thread.sleep(300);
        proxy.process.faults().clear(failingCall.getKey());
        assertAllServed(clients, failingCall.toString());
      }
    }
  }

  private static void assertAllServed(List<ClientConnection> clients, String when) {
    long until = System.nanoTime() + 1_000_000 * REQUEST_DEADLINE_MILLIS;
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
        client.write(proxy.readRequest(REQUEST_DEADLINE_MILLIS));
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
              SingleProxy.exchange(
                  client, proxy.readRequest(REQUEST_DEADLINE_MILLIS), REQUEST_DEADLINE_MILLIS);
          assertEquals(200, response.status());
        }
      }
      assertFalse(proxy.process.log().contains("Exception"), proxy.process.log());
    }
  }
}
