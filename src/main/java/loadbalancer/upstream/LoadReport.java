package loadbalancer.upstream;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The load that an upstream reports in a response header such as {@code Endpoint-Load-Metrics: TEXT
 * inflight=7, util=0.61}.
 *
 * @param metrics the reported figures by name; empty where none were reported
 */
public record LoadReport(Map<String, Double> metrics) {

  /** A response without figures. */
  public static final LoadReport EMPTY = new LoadReport(Map.of());

  private static final String HEADER = "Endpoint-Load-Metrics";
  private static final String TEXT_FORMAT = "TEXT ";

  /** Parses the report in a response's headers; what is no finite number is skipped. */
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
      // A report is a hint: one malformed figure does not void the others, let alone the response.
    }
  }
}
