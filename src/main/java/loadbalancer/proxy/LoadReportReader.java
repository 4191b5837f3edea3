package loadbalancer.proxy;

import io.netty.handler.codec.http.FullHttpResponse;
import java.util.Map;
import loadbalancer.upstream.LoadReport;

/**
 * Reads the load reports that responses may carry.
 *
 * @param enabled whether endpoints report their load at all
 */
record LoadReportReader(boolean enabled) {

  /** A response's figures by name; empty where it carries none, or no response came (null). */
  Map<String, Double> read(FullHttpResponse response) {
    return enabled && response != null ? LoadReport.parse(response.headers()).metrics() : Map.of();
  }
}
