package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Tests the exit statuses of the command line and its output on both standard streams. */
class MainTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String input, String... args) throws IOException {
    return Main.run(
        args,
        Map.of(),
        new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
        new PrintStream(out, false, StandardCharsets.UTF_8),
        new PrintStream(err, false, StandardCharsets.UTF_8));
  }

  @Test
  void exitsWithZeroWhenItsInputEnds() throws IOException {
    assertEquals(0, run("{\"clock-ns\":1,\"groups\":[]}\n", "drill"));
    assertEquals("{\"groups\":[]}\n", out.toString(StandardCharsets.UTF_8));
    assertEquals("", err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void reportsMalformedInputInOneLineAndExitsWithOne() throws IOException {
    assertEquals(1, run("{\"clock-ns\":1,\"groups\":[]}\n{\"clock-ns\":\n{}\n", "drill"));
    assertEquals(
        "{\"groups\":[]}\n",
        out.toString(StandardCharsets.UTF_8),
        "no output after the valid line");
    assertEquals(
        1,
        err.toString(StandardCharsets.UTF_8).lines().count(),
        err.toString(StandardCharsets.UTF_8));
    assertTrue(
        err.toString(StandardCharsets.UTF_8).startsWith("line 2: not JSON"),
        err.toString(StandardCharsets.UTF_8));
  }

  @Test
  void printsUsageAndExitsWithTwoForAWrongCommandLine() throws IOException {
    assertEquals(2, run(""));
    assertEquals(2, run("", "proxy"));
    assertEquals(2, run("", "drill", "more"));
    assertEquals("", out.toString(StandardCharsets.UTF_8));
    assertTrue(
        err.toString(StandardCharsets.UTF_8).startsWith("usage: "),
        err.toString(StandardCharsets.UTF_8));
  }
}
