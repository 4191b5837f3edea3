package loadbalancer.soak;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * The command line of the soak test. Exits with status 0 if no invariant was violated, 1 if one
 * was, and 2 if the test could not run.
 */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Injects overlapping disruptions into load balancer processes and checks invariants.")
public final class SoakCommand implements Callable<Integer> {

  private static final int PASSED = 0;
  private static final int VIOLATED = 1;
  private static final int FAILED = 2;

  @Mixin private SoakOptions options = new SoakOptions();

  private final PrintStream out;
  private final PrintStream err;

  SoakCommand(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  /** Runs the command and ends the process with its exit status. */
  public static void main(String[] args) {
    SoakCommand command = new SoakCommand(System.out, System.err);
    System.exit(new CommandLine(command).execute(args));
  }

  @Override
  public Integer call() throws IOException, InterruptedException {
    String error = options.validationError() == null ? memoryError() : options.validationError();
    if (error != null) {
      err.println(error);
      return FAILED;
    }
    Path folder =
        options.folder == null
            ? Files.createTempDirectory("soak")
            : Files.createDirectories(options.folder);
    out.println("seed " + options.seed + ", logs in " + folder);
    SoakReport report;
    try (SoakRun run = new SoakRun(options, folder, out)) {
      report = run.run();
    }
    String text =
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(report);
    out.println(text);
    if (options.report != null) {
      Files.writeString(options.report, text + "\n");
    }
    out.println(report.violations().isEmpty() ? "PASSED" : "VIOLATED " + report.violations());
    return report.violations().isEmpty() ? PASSED : VIOLATED;
  }

  /**
   * Returns an error message if the proxies need more than half of the machine's memory, or null.
   */
  private String memoryError() {
    long neededMebibytes =
        (long) Deployment.of(options.processes, options.endpoints).memoryMebibytes()
            * options.processes;
    java.lang.management.OperatingSystemMXBean operatingSystem =
        ManagementFactory.getOperatingSystemMXBean();
    long halfOfMemoryMebibytes =
        operatingSystem instanceof com.sun.management.OperatingSystemMXBean machine
            ? machine.getTotalMemorySize() >> 21
            : Long.MAX_VALUE;
    return neededMebibytes <= halfOfMemoryMebibytes
        ? null
        : options.processes
            + " proxies need "
            + neededMebibytes
            + " MiB, half of the memory is "
            + halfOfMemoryMebibytes;
  }
}
