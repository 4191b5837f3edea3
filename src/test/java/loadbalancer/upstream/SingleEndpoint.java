package loadbalancer.upstream;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import loadbalancer.config.BalancerConfig;
import loadbalancer.testing.ProxyFixture;

/** Creates configurations whose endpoint list contains only the endpoint s-1. */
final class SingleEndpoint {

  /** An address on which no discovery listens. */
  static final String NO_DISCOVERY = "127.0.0.1:1";

  /** An attempt timeout that no test reaches. */
  static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private SingleEndpoint() {}

  static BalancerConfig config(String upstream) throws IOException {
    return config(NO_DISCOVERY, upstream);
  }

  static BalancerConfig config(String discovery, String upstream) throws IOException {
    return ProxyFixture.config(discovery, endpointListJson(upstream));
  }

  /** Returns a configuration with a connect timeout that no test reaches. */
  static BalancerConfig configWithLongConnectTimeout(String discovery, String upstream)
      throws IOException {
    int connectTimeoutMillis = 1000 * ProxyFixture.TIMEOUT_SECONDS;
    return ProxyFixture.config(
        discovery, endpointListJson(upstream), "on_request", connectTimeoutMillis, 1024, "");
  }

  static String endpointListJson(String upstream) {
    return ProxyFixture.endpointListJson(
        1, true, ProxyFixture.endpointJson("s-1", upstream, "ready"));
  }
}
