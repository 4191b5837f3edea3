package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the maximum number of attempts per request and the limit on file descriptors. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class AttemptLimitTest {

  private static final long FIRST_ENDPOINT = DiscoveryMessages.endpointId("s-1");
  private static final long SECOND_ENDPOINT = DiscoveryMessages.endpointId("s-2");

  @Test
  void doesNotSendMoreAttemptsThanAllowed() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actionSink) -> {
              if (event instanceof RequestArrived request) {
                actionSink.accept(new StartAttempt(request.requestId(), FIRST_ENDPOINT, 0));
              } else if (event instanceof AttemptEnded attemptEnded && attemptEnded.attempt() < 6) {
                actionSink.accept(new StartAttempt(attemptEnded.requestId(), FIRST_ENDPOINT, 0));
              } else if (event instanceof AttemptEnded attemptEnded) {
                actionSink.accept(new FailRequest(attemptEnded.requestId()));
              }
            });
    try (FakeServer upstream =
            FakeServer.respondingWith("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
        ProxyFixture proxy = new ProxyFixture(SingleEndpoint.config(upstream.address()), engine);
        Client client = proxy.client()) {
      client.exchange(ProxyFixture.get("t", ""));
      for (int i = 0; i < 6; i++) {
        assertEquals(AttemptStatus.ERROR, engine.awaitEvent(AttemptEnded.class).status());
      }
      assertEquals(AttemptStatus.NOT_SENT, engine.awaitEvent(AttemptEnded.class).status());
      assertEquals(6, upstream.requests.size());
    }
  }

  @Test
  void closesIdleConnectionsAtDescriptorLimitAndThenFailsAttempts() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actionSink) -> {
              if (event instanceof RequestArrived request) {
                boolean isForSecondEndpoint = "true".equals(request.tenant());
                long endpoint = isForSecondEndpoint ? SECOND_ENDPOINT : FIRST_ENDPOINT;
                actionSink.accept(new StartAttempt(request.requestId(), endpoint, 0));
              } else if (event instanceof AttemptEnded attemptEnded
                  && !attemptEnded.isRequestAnswered()) {
                actionSink.accept(new FailRequest(attemptEnded.requestId()));
              }
            });
    CountDownLatch testDone = new CountDownLatch(1);
    try (FakeServer idleUpstream = FakeServer.respondingWith(FakeServer.ok("x"));
        FakeServer busyUpstream =
            new FakeServer(
                connection -> {
                  connection.readRequest();
                  testDone.await();
                });
        ProxyFixture proxy =
            new ProxyFixture(configWithRoomForSixConnections(idleUpstream, busyUpstream), engine);
        Client firstClient = proxy.client();
        Client secondClient = proxy.client();
        Client thirdClient = proxy.client()) {
      // The limit leaves room for three client connections and three upstream connections.
      firstClient.exchange(ProxyFixture.get("t1", ""));
      assertEquals(AttemptStatus.SUCCESS, engine.awaitEvent(AttemptEnded.class).status());
      List<Client> clients = List.of(secondClient, thirdClient, firstClient);
      for (int i = 0; i < 3; i++) {
        clients.get(i).write(ProxyFixture.get("busy" + i, "X-Customer: true\r\n"));
        assertNotNull(
            busyUpstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS),
            "the third connection replaces the idle one");
      }
      try (Client lastClient = proxy.client()) {
        lastClient.exchange(ProxyFixture.get("t4", "X-Customer: true\r\n"));
      }
      assertEquals(
          AttemptStatus.NOT_SENT,
          engine.awaitEvent(AttemptEnded.class).status(),
          "no idle connection is left to close, and the endpoint is not at fault");
      testDone.countDown();
    }
  }

  /** Returns a configuration whose descriptor limit leaves room for six connections. */
  private static BalancerConfig configWithRoomForSixConnections(FakeServer first, FakeServer second)
      throws Exception {
    String list =
        ProxyFixture.endpointListJson(
            1,
            true,
            ProxyFixture.endpointJson("s-1", first.address(), "ready"),
            ProxyFixture.endpointJson("s-2", second.address(), "ready"));
    return ProxyFixture.config(SingleEndpoint.NO_DISCOVERY, list, "on_request", 200, 62, "");
  }
}
