package loadbalancer.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;

/** Searches a proxy's log for lines that indicate a defect of the proxy. */
final class LogChecker {

  private static final Pattern DEFECT_LINE =
      Pattern.compile(
          "engine_failed|engine_start_failed|invariant_violated|OutOfMemoryError|SIGSEGV"
              + "|Exception in thread|An exception .* was thrown by");

  private LogChecker() {}

  /** Returns one violation for each line of the proxy's log that indicates a defect. */
  static List<Violation> check(ProxyNode proxy) throws IOException {
    List<Violation> violations = new ArrayList<>();
    for (String line : proxy.process().log().split("\n", -1)) {
      if (DEFECT_LINE.matcher(line).find()) {
        violations.add(
            new Violation(Violation.Rule.CRASH, Long.MAX_VALUE, null, "n" + proxy.index() + line));
      }
    }
    return violations;
  }
}
