package loadbalancer.soak;

import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import loadbalancer.soak.RequestRecord.Outcome;
import org.HdrHistogram.Histogram;

/**
 * The result of a run. The record components are the fields of the JSON report.
 *
 * @param requests the number of requests, by outcome and status
 * @param latencyMillis the latency of responses with status 200, by percentile
 * @param troubles the number of scheduled disruptions, by kind
 * @param violations the number of violations, by rule
 * @param firstViolation the earliest violation with its history; null if there is none
 * @param firstOfEachOtherRule the earliest violation of each other violated rule
 */
@JsonPropertyOrder({
  "seed",
  "seconds",
  "processes",
  "violations",
  "firstViolation",
  "firstOfEachOtherRule"
})
record SoakReport(
    long seed,
    int seconds,
    int processes,
    int endpoints,
    Map<String, Long> requests,
    Map<String, Double> latencyMillis,
    Map<String, Long> troubles,
    Map<String, Long> violations,
    FirstViolation firstViolation,
    List<FirstViolation> firstOfEachOtherRule) {

  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};
  private static final int SIGNIFICANT_DIGITS = 3;

  /** The earliest violation of a rule, with the events that led to it. */
  record FirstViolation(String rule, String traceId, String detail, List<String> history) {}

  static SoakReport of(
      SoakOptions options,
      List<RequestRecord> requests,
      List<Disruption> disruptions,
      List<Violation> violations,
      ViolationHistory history)
      throws IOException {
    Map<String, Long> disruptionsByKind = new TreeMap<>();
    disruptions.forEach(
        disruption -> disruptionsByKind.merge(disruption.kind().toString(), 1L, Long::sum));
    Map<String, Long> violationsByRule = new TreeMap<>();
    violations.forEach(
        violation -> violationsByRule.merge(violation.rule().toString(), 1L, Long::sum));
    return new SoakReport(
        options.seed,
        options.seconds,
        options.processes,
        options.endpoints,
        outcomes(requests),
        latencies(requests),
        disruptionsByKind,
        violationsByRule,
        violations.isEmpty() ? null : first(violations.get(0), history),
        firstOfEachOtherRule(violations, history));
  }

  private static List<FirstViolation> firstOfEachOtherRule(
      List<Violation> violations, ViolationHistory history) throws IOException {
    List<FirstViolation> firsts = new ArrayList<>();
    Set<Violation.Rule> seen = EnumSet.noneOf(Violation.Rule.class);
    for (Violation violation : violations) {
      if (seen.add(violation.rule()) && seen.size() > 1) {
        firsts.add(first(violation, history));
      }
    }
    return firsts;
  }

  private static FirstViolation first(Violation violation, ViolationHistory history)
      throws IOException {
    return new FirstViolation(
        violation.rule().toString(),
        violation.traceId(),
        violation.detail(),
        history.eventsBefore(violation));
  }

  private static Map<String, Long> outcomes(List<RequestRecord> requests) {
    Map<String, Long> outcomes = new TreeMap<>();
    for (RequestRecord request : requests) {
      String outcome =
          request.outcome == Outcome.RESPONSE
              ? "status " + request.status
              : request.outcome.toString();
      outcomes.merge(outcome, 1L, Long::sum);
    }
    return outcomes;
  }

  private static Map<String, Double> latencies(List<RequestRecord> requests) {
    Histogram histogram = new Histogram(SIGNIFICANT_DIGITS);
    for (RequestRecord request : requests) {
      if (request.outcome == Outcome.RESPONSE && request.status == 200) {
        histogram.recordValue(
            TimeUnit.NANOSECONDS.toMicros(Math.max(0, request.endNanos - request.sentNanos)));
      }
    }
    Map<String, Double> latencies = new TreeMap<>();
    for (double percentile : PERCENTILES) {
      latencies.put("p" + percentile, histogram.getValueAtPercentile(percentile) / 1000.0);
    }
    return latencies;
  }
}
