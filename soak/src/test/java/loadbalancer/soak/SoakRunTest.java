package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests a short run of the soak test, and its options. Long runs are started manually. */
class SoakRunTest {

  private static final int SECONDS = 15;
  private static final int PROCESSES = 6;

  @TempDir Path folder;

  private static PrintStream discardingStream() {
    return new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8);
  }

  @Test
  void violatesNoRuleInAShortRunWithAFixedSeed() throws IOException, InterruptedException {
    SoakOptions options = new SoakOptions();
    options.home = Path.of(System.getProperty("proxy.home"));
    options.seed = 21;
    options.seconds = SECONDS;
    options.processes = PROCESSES;
    try (SoakRun run = new SoakRun(options, folder, discardingStream())) {
      SoakReport report = run.run();
      assertEquals(Map.of(), report.violations(), () -> report.firstViolation().toString());
      assertTrue(
          report.requests().get("status 200") > SECONDS * PROCESSES,
          "number of successful responses");
      assertTrue(report.troubles().size() > 5, "number of kinds of disruption in troubles");
    }
  }

  @Test
  void rejectsOptionsOutOfRange() {
    for (String invalidOption :
        new String[] {"--seconds=9", "--processes=0", "--endpoints=2", "--seed=x"}) {
      CommandLine command =
          new CommandLine(new SoakCommand(discardingStream(), discardingStream()));
      command.setErr(new java.io.PrintWriter(discardingStream()));
      assertEquals(2, command.execute(invalidOption), invalidOption);
    }
  }
}
