package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The load that an upstream reports in a response header such as {@code Endpoint-Load-Metrics: TEXT
 * inflight=7, util=0.61}.
 *
 * @param metrics the reported values by metric name; empty if none were reported
 */
public record LoadReport(Map<String, Double> metrics) {

  /** A report without metrics. */
  public static final LoadReport EMPTY = new LoadReport(Map.of());

  private static final String HEADER = "Endpoint-Load-Metrics";
  private static final String TEXT_FORMAT = "TEXT ";

  /** Parses the report in the headers of a response; skips values that are not finite numbers. */
  public static LoadReport parse(HttpHeaders headers) {
    String text = headers.get(HEADER);
    if (text == null || !text.startsWith(TEXT_FORMAT)) {
      return EMPTY;
    }
    Map<String, Double> metrics = new LinkedHashMap<>();
    int start = TEXT_FORMAT.length();
    while (start <= text.length()) {
      int comma = text.indexOf(',', start);
      int end = comma < 0 ? text.length() : comma;
      parseMetric(text.substring(start, end), metrics);
      start = end + 1;
    }
    return new LoadReport(metrics);
  }

  private static void parseMetric(String metric, Map<String, Double> metrics) {
    int equals = metric.indexOf('=');
    if (equals <= 0) {
      return;
    }
    try {
      double value = Double.parseDouble(metric.substring(equals + 1).trim());
      if (Double.isFinite(value)) {
        metrics.put(metric.substring(0, equals).trim(), value);
      }
    } catch (NumberFormatException e) {
      // The report is only a hint: a malformed value invalidates neither the others nor the
      // response.
    }
  }
}
