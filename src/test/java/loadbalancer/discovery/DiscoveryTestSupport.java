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

/** Shared helpers of the discovery tests: a proxy that knows one endpoint, and its engine. */
final class DiscoveryTestSupport {

  static final String POLLED = "on_request";
  static final String PUSHED = "pushed";

  /** The revision of the list in the proxy's configuration. */
  static final int KNOWN_REVISION = 41;

  static final String READY_MEMBER = member("ready");

  /** The header section of a watch's response. */
  static final String WATCH_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  private DiscoveryTestSupport() {}

  /** Returns the list entry of the known endpoint in the given phase. */
  static String member(String phase) {
    return ProxyFixture.endpointJson("s-a", "127.0.0.1:1", phase);
  }

  /** Returns an engine that only records its events. */
  static ScriptedEngine passiveEngine() {
    return new ScriptedEngine((event, actionSink) -> {});
  }

  /** Returns an engine that watches the endpoint list from its start. */
  static ScriptedEngine watchingEngine() {
    return new ScriptedEngine(
        (event, actionSink) -> {
          if (event instanceof EndpointListUpdate update && update.kind() == UpdateKind.CACHED) {
            actionSink.accept(new WatchEndpoints(true));
          }
        });
  }

  static BalancerConfig config(FakeServer discovery, String mode) throws IOException {
    String known = ProxyFixture.endpointListJson(KNOWN_REVISION, true, READY_MEMBER);
    return ProxyFixture.config(discovery.address(), known, mode, 200, 1024, "");
  }

  static ProxyFixture proxy(FakeServer discovery, String mode, DecisionEngine engine)
      throws IOException {
    return new ProxyFixture(config(discovery, mode), engine);
  }

  /**
   * Returns the kind of the next update, its number of endpoints and the state of the first one.
   */
  static String nextUpdate(ScriptedEngine engine) throws InterruptedException {
    return describe(engine.awaitEvent(EndpointListUpdate.class));
  }

  static String describe(EndpointListUpdate update) {
    List<Endpoint> endpoints = update.endpoints();
    String first = endpoints.isEmpty() ? "" : " " + endpoints.get(0).state();
    return update.kind() + " " + endpoints.size() + first;
  }
}
