package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that the proxy follows a restarted discovery agent at another address, whose revisions
 * start over.
 */
class RestartedDiscoveryTest {

  /** Time after which the proxy counts as notified of the list of a reachable discovery agent. */
  private static final long NOTIFICATION_MILLIS = 6000;

  private static final long REQUEST_DEADLINE_MILLIS = 400;
  private static final int REQUESTS = 40;

  @TempDir Path folder;

  @Test
  void followsListsWhoseRevisionsStartOver() throws IOException, InterruptedException {
    try (SingleProxy proxy = new SingleProxy(folder, Deployment.of(1, 2), 0, 0)) {
      FakeUpstream leaving = proxy.upstreams.get(0);
      FakeUpstream staying = proxy.upstreams.get(1);
      for (int i = 0; i < 20; i++) {
        proxy.addChange(staying, EndpointEntry.Phase.READY, 0);
      }
      proxy.agent.advanceTo(proxy.catalogue.revision());
      proxy.configure(proxy.agent);
      proxy.start();
      EndpointCatalogue restartedCatalogue = new EndpointCatalogue();
      restartedCatalogue.add(
          new EndpointEntry(leaving.name(), leaving.address(), EndpointEntry.Phase.DRAINING, 0));
      restartedCatalogue.add(
          new EndpointEntry(staying.name(), staying.address(), EndpointEntry.Phase.READY, 0));
      try (DiscoveryAgent restarted = proxy.newAgent(restartedCatalogue)) {
        proxy.configure(restarted);
        proxy.process.sendHangUp();
        Thread.sleep(NOTIFICATION_MILLIS);
        long before = proxy.attemptsAt(leaving);
        try (ClientConnection client = proxy.connect()) {
          for (int i = 0; i < REQUESTS; i++) {
            String request = proxy.readRequest(REQUEST_DEADLINE_MILLIS);
            assertEquals(
                200, SingleProxy.exchange(client, request, REQUEST_DEADLINE_MILLIS).status());
          }
        }
        long sent = proxy.attemptsAt(leaving) - before;
        assertEquals(0, sent, "attempts at the draining endpoint");
        assertTrue(proxy.attemptsAt(staying) >= REQUESTS);
      }
    }
  }
}
