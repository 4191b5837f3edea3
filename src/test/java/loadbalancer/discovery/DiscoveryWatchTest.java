package loadbalancer.discovery;

import static loadbalancer.discovery.DiscoveryTestSupport.POLLED;
import static loadbalancer.discovery.DiscoveryTestSupport.PUSHED;
import static loadbalancer.discovery.DiscoveryTestSupport.READY_MEMBER;
import static loadbalancer.discovery.DiscoveryTestSupport.WATCH_HEAD;
import static loadbalancer.discovery.DiscoveryTestSupport.nextUpdate;
import static loadbalancer.discovery.DiscoveryTestSupport.passiveEngine;
import static loadbalancer.discovery.DiscoveryTestSupport.proxy;
import static loadbalancer.discovery.DiscoveryTestSupport.watchingEngine;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Action.FetchEndpoints;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that lists arrive complete and in order, whatever their layout and fragmentation. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
@SuppressWarnings("try") // The proxy runs while the test reads the events of its engine.
class DiscoveryWatchTest {

  private static final String DRAINING_MEMBER =
      ProxyFixture.endpointJson("s-b", "127.0.0.1:2", "draining");

  @Test
  void reportsEveryListOfAWatchAndItsEnd() throws Exception {
    ScriptedEngine engine = watchingEngine();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          String gone =
              DiscoveryMessages.chunk(
                  ProxyFixture.endpointListJson(43, false, DiscoveryTestSupport.member("gone")));
          connection.write(
              DiscoveryMessages.watchResponse(
                  ProxyFixture.endpointListJson(42, true, READY_MEMBER, DRAINING_MEMBER)));
          connection.write(DiscoveryMessages.chunk(""));
          connection.write(gone.substring(0, 20));
          connection.write(gone.substring(20));
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, POLLED, engine)) {
      assertEquals("CACHED 1 READY", nextUpdate(engine));
      assertEquals("FULL 2 READY", nextUpdate(engine));
      assertEquals("DELTA 1 GONE", nextUpdate(engine));
      assertEquals("FAILED 0", nextUpdate(engine));
      String request = discovery.requests.take();
      assertTrue(request.startsWith("GET /v1/servers?follow=1&since=41 HTTP/1.1\r\n"), request);
    }
  }

  /** Guards against parsing by lines, which would split an indented list into malformed ones. */
  @Test
  void acceptsListsThatSpanSeveralLinesOrShareOne() throws Exception {
    ScriptedEngine engine = watchingEngine();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          connection.write(
              DiscoveryMessages.watchResponse(
                  indented(
                      ProxyFixture.endpointListJson(42, true, READY_MEMBER, DRAINING_MEMBER))));
          connection.write(DiscoveryMessages.chunk(""));
          String gone =
              indented(
                  ProxyFixture.endpointListJson(
                      43, false, ProxyFixture.endpointJson("NAME", "127.0.0.1:1", "gone")));
          for (String line : gone.split("\n", 0)) {
            connection.write(DiscoveryMessages.chunk(line.replace("NAME", "s-a}{\\\"")));
          }
          String first = ProxyFixture.endpointListJson(44, false, READY_MEMBER);
          String second = first.replace("44", "45").replace("ready", "draining");
          connection.write(DiscoveryMessages.chunk(first + second));
          connection.readRequest();
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, POLLED, engine)) {
      assertEquals("CACHED 1 READY", nextUpdate(engine));
      assertEquals("FULL 2 READY", nextUpdate(engine));
      assertEquals("DELTA 1 GONE", nextUpdate(engine), "a name with braces and a quote");
      assertEquals("DELTA 1 READY", nextUpdate(engine));
      assertEquals("DELTA 1 DRAINING", nextUpdate(engine), "two lists on one line");
    }
  }

  private static String indented(String list) {
    return list.replace("{", "{\n  ").replace(",\"", ",\n\n  \"").replace("}", "\n  }");
  }

  /**
   * Each chunk ends one list and starts the next, for a longer time than a single list may remain
   * incomplete.
   */
  @Test
  void acceptsChunksThatEndOneListAndStartTheNext() throws Exception {
    ScriptedEngine engine = watchingEngine();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          String rest = ProxyFixture.endpointListJson(42, false, READY_MEMBER);
          connection.write(WATCH_HEAD);
          for (int revision = 43; revision < 43 + 15; revision++) {
            String next = ProxyFixture.endpointListJson(revision, false, READY_MEMBER);
            connection.write(DiscoveryMessages.chunk(rest + next.substring(0, 15)));
            rest = next.substring(15);
            Thread.sleep(100);
          }
          connection.write(DiscoveryMessages.chunk(rest));
          connection.awaitClose();
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, POLLED, engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      for (int i = 0; i < 16; i++) {
        assertEquals("DELTA 1 READY", nextUpdate(engine));
      }
    }
  }

  @Test
  void fetchesTheListOnce() throws Exception {
    ScriptedEngine engine =
        new ScriptedEngine(
            (event, actionSink) -> {
              if (event instanceof EndpointListUpdate update
                  && update.kind() == UpdateKind.CACHED) {
                actionSink.accept(new FetchEndpoints());
              }
            });
    String list = ProxyFixture.endpointListJson(50, true, READY_MEMBER);
    try (FakeServer discovery = FakeServer.respondingWith(FakeServer.ok(list));
        ProxyFixture proxy = proxy(discovery, POLLED, engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals("FULL 1 READY", nextUpdate(engine));
      String request = discovery.requests.take();
      assertTrue(request.startsWith("GET /v1/servers HTTP/1.1\r\n"), request);
    }
  }

  @Test
  void watchesAgentWithoutActionWhereListsArePushed() throws Exception {
    ScriptedEngine engine = passiveEngine();
    FakeServer.Script script =
        connection -> {
          connection.readRequest();
          connection.write(
              DiscoveryMessages.watchResponse(
                  ProxyFixture.endpointListJson(42, false, READY_MEMBER)));
        };
    try (FakeServer discovery = new FakeServer(script);
        ProxyFixture proxy = proxy(discovery, PUSHED, engine)) {
      engine.awaitEvent(EndpointListUpdate.class);
      assertEquals("DELTA 1 READY", nextUpdate(engine));
      assertEquals(
          "DELTA 1 READY", nextUpdate(engine), "from a new watch after the first one ended");
    }
  }
}
