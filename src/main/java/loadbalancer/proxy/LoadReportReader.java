package loadbalancer.proxy;

import io.netty.handler.codec.http.FullHttpResponse;
import java.util.Map;
import loadbalancer.upstream.LoadReport;

/**
 * Reads the load reports that responses may carry.
 *
 * @param enabled whether endpoints send load reports
 */
record LoadReportReader(boolean enabled) {

  /**
   * Returns a response's metrics by name; empty if endpoints send no load reports, the response
   * carries none, or there is no response (null).
   */
  Map<String, Double> read(FullHttpResponse response) {
    return enabled && response != null ? LoadReport.parse(response.headers()).metrics() : Map.of();
  }
}
