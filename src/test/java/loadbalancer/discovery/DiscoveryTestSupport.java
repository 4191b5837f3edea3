package loadbalancer.discovery;

import java.io.IOException;
import java.util.List;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;

/** What the tests of discovery share: a proxy that knows one endpoint, and its engine. */
final class DiscoveryTestSupport {

  static final String POLLED = "on_request";
  static final String PUSHED = "pushed";

  /** The revision of the list that the proxy knows at its start. */
  static final int KNOWN_REVISION = 41;

  static final String READY_MEMBER = member("ready");

  /** The start of a watch's response, without any list. */
  static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private DiscoveryTestSupport() {}

  /** The endpoint that the proxy knows, in some phase. */
  static String member(String phase) {
    return ProxyFixture.member("s-a", "127.0.0.1:1", phase);
  }

  /** Does nothing but record its events. */
  static ScriptedEngine passiveEngine() {
    return new ScriptedEngine((event, actions) -> {});
  }

  /** Watches the list from its start on. */
  static ScriptedEngine watchingEngine() {
    return new ScriptedEngine(
        (event, actions) -> {
          if (event instanceof EndpointListUpdate update && update.kind() == UpdateKind.CACHED) {
            actions.accept(new WatchEndpoints(true));
          }
        });
  }

  static BalancerConfig config(FakeServer discovery, String mode) throws IOException {
    String known = ProxyFixture.list(KNOWN_REVISION, true, READY_MEMBER);
    return ProxyFixture.config(discovery.address(), known, mode, 200, 1024, "");
  }

  static ProxyFixture proxy(FakeServer discovery, String mode, DecisionEngine engine)
      throws IOException {
    return new ProxyFixture(config(discovery, mode), engine);
  }

  /** The next update's kind, number of endpoints and the first one's state. */
  static String nextUpdate(ScriptedEngine engine) throws InterruptedException {
    return describe(engine.awaitEvent(EndpointListUpdate.class));
  }

  static String describe(EndpointListUpdate update) {
    List<Endpoint> endpoints = update.endpoints();
    String first = endpoints.isEmpty() ? "" : " " + endpoints.get(0).state();
    return update.kind() + " " + endpoints.size() + first;
  }
}
