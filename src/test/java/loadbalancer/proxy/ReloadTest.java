package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.net.SocketAddresses;
import loadbalancer.config.BalancerConfig;
import loadbalancer.json.MalformedInputException;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointDirectory;
import loadbalancer.discovery.EndpointList;
import loadbalancer.net.MonotonicClock;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A configuration that is read again while the balancer serves, and lists that are not to be believed. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ReloadTest {

  private static final String A = ProxyFixture.member("s-a", "127.0.0.1:1", "ready");
  private static final String B = ProxyFixture.member("s-b", "127.0.0.1:2", "ready");

  private static FakeServer discovery(String... lines) throws Exception {
    return new FakeServer(c -> {
      c.next();
      for (int i = 0; i < lines.length; i++) {
        c.write(i == 0 ? DiscoveryMessages.watch(lines[i]) : DiscoveryMessages.chunk(lines[i]));
      }
      c.ends();
    });
  }

  private static ScriptedEngine watching() {
    return new ScriptedEngine((event, out) -> {
      if (event instanceof EndpointListUpdate n && n.kind() == UpdateKind.CACHED) {
        out.accept(new WatchEndpoints(true));
      }
    });
  }

  @Test
  void discoveryIsFollowedToItsNewAddressAtOnce() throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer old = discovery(ProxyFixture.list(2, true, A)); FakeServer fresh = discovery(ProxyFixture.list(3, true, A, B));
        ProxyFixture rig = new ProxyFixture(ProxyFixture.config(old.address(), ProxyFixture.list(1, true, A)), module)) {
      module.next(EndpointListUpdate.class);
      assertEquals(1, module.next(EndpointListUpdate.class).endpoints().size());
      rig.server.reload(() -> ProxyFixture.config(fresh.address(), ProxyFixture.list(1, true, A)));
      EndpointListUpdate news = module.next(EndpointListUpdate.class);
      assertEquals(UpdateKind.FULL, news.kind());
      assertEquals(2, news.endpoints().size());
      assertTrue(fresh.requests.take().startsWith("GET /v1/servers?follow=1&since=2 HTTP/1.1\r\n"));
      assertTrue(old.connections.take().awaitEnd(), "nothing is left at the old address");
    }
  }

  /** Guards against a bad file that ends the balancer or leaves it without discovery. */
  @Test
  void aFileThatCannotBeReadChangesNothing() throws Exception {
    ScriptedEngine module = watching();
    try (FakeServer discovery = discovery(ProxyFixture.list(2, true, A));
        ProxyFixture rig = new ProxyFixture(ProxyFixture.config(discovery.address(), ProxyFixture.list(1, true, A)), module)) {
      module.next(EndpointListUpdate.class);
      module.next(EndpointListUpdate.class);
      rig.server.reload(() -> BalancerConfig.parse("{\"name\":", Map.of()));
      rig.server.reload(() -> {
        throw new MalformedInputException("on purpose: this line belongs to a test");
      });
      try (Client client = rig.client()) {
        assertTrue(client.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 200 "));
      }
      assertEquals(1, discovery.connections.size(), "the watch still stands");
    }
  }

  /** Guards against an environment that still names what the file named at the start. */
  @Test
  void theFileComesBeforeTheEnvironment() throws Exception {
    String text = ProxyFixture.text("127.0.0.1:8501", ProxyFixture.list(1, true, A), "on_request", 200, 1024, "");
    Map<String, String> environment = Map.of("ROUTER_DISCOVERY", "127.0.0.1:8500", "ROUTER_NAME", "n7");
    assertEquals(8501, BalancerConfig.parse(text, environment).discovery().getPort());
    assertEquals("n7", BalancerConfig.parse(text.replace("\"name\":\"n0\",", ""), environment).name());
  }

  private static List<Integer> sizes(EndpointList... lists) {
    EndpointDirectory fleet = new EndpointDirectory(new MonotonicClock());
    return Arrays.stream(lists).map(l -> {
      fleet.apply(l.complete() ? UpdateKind.FULL : UpdateKind.DELTA, l);
      return fleet.snapshot().endpoints().size();
    }).toList();
  }

  private static EndpointList list(int revision, boolean complete, String... ids) throws Exception {
    List<EndpointList.Member> members = new ArrayList<>();
    for (String id : ids) {
      members.add(new EndpointList.Member(id, SocketAddresses.parse("a", "127.0.0.1:1"), "a", 0, EndpointState.READY, 1, 0));
    }
    return new EndpointList(revision, complete, members);
  }

  /** Guards against a lagging discovery that brings back what has gone. */
  @Test
  void anOlderVersionOfTheListIsNotTaken() throws Exception {
    assertEquals(List.of(1, 1, 1, 2), sizes(list(5, true, "a"), list(4, true, "a", "b"), list(4, false, "c"),
        list(6, false, "d")));
  }

  /** Guards against a discovery that has lost its list: without one nothing can be served. */
  @Test
  void anEmptyListIsNotTaken() throws Exception {
    assertEquals(List.of(2, 2, 1), sizes(list(5, true, "a", "b"), list(6, true), list(7, true, "a")));
  }
}
