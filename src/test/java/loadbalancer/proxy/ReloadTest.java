package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.json.MalformedInputException;
import loadbalancer.net.MonotonicClock;
import loadbalancer.net.SocketAddresses;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Reloads of the configuration while the proxy is running, and endpoint lists that are outdated or
 * empty.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ReloadTest {

  private static final String MEMBER_A = ProxyFixture.endpointJson("s-a", "127.0.0.1:1", "ready");
  private static final String MEMBER_B = ProxyFixture.endpointJson("s-b", "127.0.0.1:2", "ready");

  private static FakeServer discovery(String... lines) throws IOException {
    return new FakeServer(
        connection -> {
          connection.readRequest();
          for (int i = 0; i < lines.length; i++) {
            connection.write(
                i == 0
                    ? DiscoveryMessages.watchResponse(lines[i])
                    : DiscoveryMessages.chunk(lines[i]));
          }
          connection.awaitClose();
        });
  }

  /** Returns an engine that watches discovery. */
  private static ScriptedEngine watchingEngine() {
    return new ScriptedEngine(
        (event, actions) -> {
          if (event instanceof EndpointListUpdate update && update.kind() == UpdateKind.CACHED) {
            actions.accept(new WatchEndpoints(true));
          }
        });
  }

  private static BalancerConfig polledConfig(FakeServer discovery) throws IOException {
    return ProxyFixture.config(
        discovery.address(), ProxyFixture.endpointListJson(1, true, MEMBER_A));
  }

  private static BalancerConfig pushedConfig(FakeServer discovery) throws IOException {
    return ProxyFixture.config(
        discovery.address(),
        ProxyFixture.endpointListJson(1, true, MEMBER_A),
        "pushed",
        200,
        1024,
        "");
  }

  @Test
  void followsDiscoveryToItsNewAddressAtOnce() throws Exception {
    ScriptedEngine engine = watchingEngine();
    try (FakeServer oldDiscovery = discovery(ProxyFixture.endpointListJson(2, true, MEMBER_A));
        FakeServer newDiscovery =
            discovery(ProxyFixture.endpointListJson(3, true, MEMBER_A, MEMBER_B));
        ProxyFixture proxy = new ProxyFixture(polledConfig(oldDiscovery), engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(1, engine.awaitEvent(EndpointListUpdate.class).endpoints().size());
      proxy.server.reload(() -> polledConfig(newDiscovery));
      EndpointListUpdate update = engine.awaitEvent(EndpointListUpdate.class);
      assertEquals(UpdateKind.FULL, update.kind());
      assertEquals(2, update.endpoints().size());
      String request = newDiscovery.requests.take();
      assertTrue(request.startsWith("GET /v1/servers?follow=1&since=2 HTTP/1.1\r\n"));
      assertTrue(
          oldDiscovery.connections.take().awaitScriptEnd(),
          "the connection to the old address is closed");
    }
  }

  /** An invalid file must neither end the proxy nor leave it without discovery. */
  @Test
  void changesNothingIfTheFileCannotBeRead() throws Exception {
    ScriptedEngine engine = watchingEngine();
    try (FakeServer discovery = discovery(ProxyFixture.endpointListJson(2, true, MEMBER_A));
        ProxyFixture proxy = new ProxyFixture(polledConfig(discovery), engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      engine.awaitEvent(EndpointListUpdate.class);
      proxy.server.reload(() -> BalancerConfig.parse("{\"name\":", Map.of()));
      proxy.server.reload(
          () -> {
            throw new MalformedInputException("on purpose: this line belongs to a test");
          });
      try (Client client = proxy.client()) {
        String health = client.exchange("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
        assertTrue(health.startsWith("HTTP/1.1 200 "));
      }
      assertEquals(1, discovery.connections.size(), "the watch is still open");
    }
  }

  /**
   * Each signal is handled on its own thread: the file that was read first must not be applied
   * last.
   */
  @Test
  void appliesTheLaterFileOfTwoReloadsAtOnce() throws Exception {
    try (FakeServer oldDiscovery = new FakeServer(FakeServer.Connection::readRequest);
        FakeServer firstReloaded = new FakeServer(FakeServer.Connection::readRequest);
        FakeServer lastReloaded = new FakeServer(FakeServer.Connection::readRequest);
        ProxyFixture proxy =
            new ProxyFixture(
                pushedConfig(oldDiscovery), new ScriptedEngine((event, actions) -> {}))) {
      Thread secondReload = new Thread(() -> proxy.server.reload(() -> pushedConfig(lastReloaded)));
      proxy.server.reload(
          () -> {
            secondReload.start();
            // Waits until the second thread has either applied its file or is blocked by this
            // reload.
            while (secondReload.getState() != Thread.State.BLOCKED
                && secondReload.getState() != Thread.State.TERMINATED) {
              Thread.onSpinWait();
            }
            return pushedConfig(firstReloaded);
          });
      secondReload.join();
      // Discovery is now watched at the address in the last file: its agent ends every watch, and
      // each end causes the next one.
      lastReloaded.requests.clear();
      assertNotNull(lastReloaded.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  /**
   * The environment still holds the values from the start of the process, and the file may be
   * newer.
   */
  @Test
  void prefersTheFileToTheEnvironment() throws Exception {
    String text =
        ProxyFixture.configText(
            "127.0.0.1:8501",
            ProxyFixture.endpointListJson(1, true, MEMBER_A),
            "on_request",
            200,
            1024,
            "");
    Map<String, String> environment =
        Map.of("ROUTER_DISCOVERY", "127.0.0.1:8500", "ROUTER_NAME", "n7");
    assertEquals(8501, BalancerConfig.parse(text, environment).discoveryAddress().getPort());
    String unnamed = text.replace("\"name\":\"n0\",", "");
    assertEquals("n7", BalancerConfig.parse(unnamed, environment).name());
  }

  /** Returns the number of known endpoints after each of these lists. */
  private static List<Integer> sizes(EndpointList... lists) {
    EndpointDirectory directory = new EndpointDirectory(new MonotonicClock());
    return Arrays.stream(lists)
        .map(
            list -> {
              directory.apply(list.complete() ? UpdateKind.FULL : UpdateKind.DELTA, list);
              return directory.snapshot().endpoints().size();
            })
        .toList();
  }

  private static EndpointList list(int revision, boolean complete, String... names) {
    List<EndpointList.Member> members = new ArrayList<>();
    for (String name : names) {
      members.add(
          new EndpointList.Member(
              name, SocketAddresses.parse("a", "127.0.0.1:1"), "a", 0, EndpointState.READY, 1, 0));
    }
    return new EndpointList(revision, complete, members);
  }

  /** A list from a discovery that lags behind would bring back endpoints that are gone. */
  @Test
  void ignoresAnOlderRevisionOfTheList() {
    assertEquals(
        List.of(1, 1, 1, 2),
        sizes(
            list(5, true, "a"), list(4, true, "a", "b"), list(4, false, "c"), list(6, false, "d")));
  }

  /** What a complete list omits is gone, also if it has no members: they may all be draining. */
  @Test
  void removesAllEndpointsThatAnEmptyCompleteListOmits() {
    assertEquals(
        List.of(2, 0, 1), sizes(list(5, true, "a", "b"), list(6, true), list(7, true, "a")));
  }
}
