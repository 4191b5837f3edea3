package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.EventLoopStepQueue;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A reload and another event in one turn of the event loop, in each order, and a reload while
 * discovery is down.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ReloadOrderTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final String READY = ProxyFixture.endpointJson("s-1", UNREACHABLE, "ready");
  private static final String DRAINING = ProxyFixture.endpointJson("s-1", UNREACHABLE, "draining");

  private static final String OTHER_DRAINING =
      ProxyFixture.endpointJson("s-2", UNREACHABLE, "draining");

  private final EventLoopStepQueue steps = new EventLoopStepQueue();

  private static BalancerConfig config(String discoveryAddress, String initialList)
      throws IOException {
    return ProxyFixture.config(discoveryAddress, initialList, "pushed", 200, 1024, "");
  }

  private static void reload(ProxyFixture proxy, FakeServer discovery) {
    proxy.server.reload(
        () -> ProxyFixture.config(discovery.address(), ProxyFixture.endpointListJson(1, true)));
  }

  private static void write(Client client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A reload and a shutdown are requested in one turn of the event loop. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void carriesOutAReloadAndAShutdownInOneTurn(boolean shutdownFirst) throws Exception {
    ScriptedEngine engine = steps.engine("s-1", TimeUnit.SECONDS.toNanos(30));
    try (FakeServer newAgent = new FakeServer(FakeServer.Connection::awaitClose);
        ProxyFixture proxy =
            new ProxyFixture(config(UNREACHABLE, ProxyFixture.endpointListJson(1, true)), engine);
        Client trigger = proxy.client();
        Client other = proxy.client()) {
      Thread shutdown = new Thread(proxy.server::shutDownGracefully);
      steps.add(
          actions -> {
            if (shutdownFirst) {
              shutdown.start();
              EventLoopStepQueue.sleep(100); // The shutdown waits for the event loop by then.
            }
            reload(proxy, newAgent);
            if (!shutdownFirst) {
              shutdown.start();
              EventLoopStepQueue.sleep(100);
            }
          });
      String response =
          trigger.exchange(ProxyFixture.get("trigger", EventLoopStepQueue.TRIGGER_HEADER));
      assertTrue(response.startsWith("HTTP/1.1 429 "));
      assertNotNull(
          newAgent.connections.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS),
          "connects to the new discovery");
      String health = other.exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
      assertTrue(health.startsWith("HTTP/1.1 503 "), "the proxy is shutting down");
      shutdown.join(TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
      assertTrue(!shutdown.isAlive(), "terminates");
    }
  }

  /** Returns an agent that sends one list to every watch and keeps the watch open. */
  private static FakeServer agent(String list) throws IOException {
    return new FakeServer(
        connection -> {
          connection.readRequest();
          connection.write(DiscoveryMessages.watchResponse(list));
          connection.awaitClose();
        });
  }

  /**
   * Returns an agent that sends one list, resets the watch when {@code resetRequested} reaches
   * zero, and then counts down {@code resetDone}.
   */
  private static FakeServer resettingAgent(CountDownLatch resetRequested, CountDownLatch resetDone)
      throws IOException {
    return new FakeServer(
        connection -> {
          connection.readRequest();
          connection.write(
              DiscoveryMessages.watchResponse(ProxyFixture.endpointListJson(2, true, READY)));
          resetRequested.await();
          connection.reset();
          resetDone.countDown();
        });
  }

  /** The old discovery resets the watch in the turn of the reload, before or after it. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void keepsOneWatchWhenTheOldAgentResetsItInTheTurnOfTheReload(boolean resetFirst)
      throws Exception {
    CountDownLatch resetRequested = new CountDownLatch(1);
    CountDownLatch resetDone = new CountDownLatch(1);
    ScriptedEngine engine = steps.engine("s-1", 0);
    try (FakeServer oldAgent = resettingAgent(resetRequested, resetDone);
        FakeServer newAgent = agent(ProxyFixture.endpointListJson(3, true, READY, OTHER_DRAINING));
        ProxyFixture proxy =
            new ProxyFixture(
                config(oldAgent.address(), ProxyFixture.endpointListJson(1, true, READY)), engine);
        Client trigger = proxy.client();
        Client secondTrigger = proxy.client()) {
      assertEquals(UpdateKind.CACHED, engine.awaitEvent(EndpointListUpdate.class).kind());
      assertEquals(UpdateKind.FULL, engine.awaitEvent(EndpointListUpdate.class).kind());
      steps.add(
          actions -> {
            if (resetFirst) {
              resetRequested.countDown();
              await(resetDone); // The trigger is read in the turn of the reset, and handled later.
              write(secondTrigger, ProxyFixture.get("second", EventLoopStepQueue.TRIGGER_HEADER));
            } else {
              reload(proxy, newAgent);
              resetRequested.countDown();
              await(resetDone);
            }
          });
      if (resetFirst) {
        steps.add(actions -> reload(proxy, newAgent));
      }
      trigger.exchange(ProxyFixture.get("trigger-1", EventLoopStepQueue.TRIGGER_HEADER));
      EndpointListUpdate update = engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(2, update.endpoints().size(), "from the new discovery's list");
      EventLoopStepQueue.sleep(1000); // Longer than the longest backoff.
      assertEquals(1, newAgent.connections.size(), "one watch at the new address");
      assertNull(
          engine.events.stream()
              .filter(event -> event instanceof EndpointListUpdate)
              .findFirst()
              .orElse(null));
    }
  }

  /**
   * The new discovery is down at the reload, and reports a drain when it is back. The drain has to
   * be known within 4 s of the signal.
   */
  @Test
  void learnsOfDrainsInTimeWhenTheNewDiscoveryIsDownAtTheReload() throws Exception {
    AtomicInteger calls = new AtomicInteger();
    ScriptedEngine engine = steps.engine("s-1", 0);
    try (FakeServer oldAgent = agent(ProxyFixture.endpointListJson(2, true, READY));
        FakeServer newAgent =
            new FakeServer(
                connection -> {
                  // Resets until the backoff is at its maximum, then stays silent once, and only
                  // then responds.
                  if (calls.incrementAndGet() <= 5) {
                    connection.reset();
                  } else if (calls.get() == 6) {
                    connection.awaitClose();
                  } else {
                    connection.readRequest();
                    connection.write(
                        DiscoveryMessages.watchResponse(
                            ProxyFixture.endpointListJson(3, false, DRAINING)));
                    connection.awaitClose();
                  }
                });
        ProxyFixture proxy =
            new ProxyFixture(
                config(oldAgent.address(), ProxyFixture.endpointListJson(1, true, READY)),
                engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(UpdateKind.FULL, engine.awaitEvent(EndpointListUpdate.class).kind());
      long reloadedAt = System.nanoTime();
      reload(proxy, newAgent);
      EndpointListUpdate update = engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(
          List.of(EndpointState.DRAINING),
          update.endpoints().stream().map(endpoint -> endpoint.state()).toList());
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reloadedAt);
      assertTrue(millis < 3500, "known after " + millis + " ms");
    }
  }
}
