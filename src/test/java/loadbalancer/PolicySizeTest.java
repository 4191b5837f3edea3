package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The decision engine is to be ported by hand one day, and has to stay small: all of it, and each
 * file.
 */
class PolicySizeTest {

  private static final Path DEPLOYMENT = Path.of("deploy/balancer.toml");
  private static final Path DECISION = Path.of("src/main/java/loadbalancer/decision");

  private static final long MAX_LINES = 1200;
  private static final long MAX_FILE_LINES = 250;
  private static final int MAX_COLUMNS = 100;

  /**
   * The files that the deployment lists as its decision logic; a folder stands for the files in it.
   */
  private static List<Path> policy() throws IOException {
    Matcher list =
        Pattern.compile("^policy\\s*=\\s*\\[(.*?)\\]", Pattern.MULTILINE | Pattern.DOTALL)
            .matcher(Files.readString(DEPLOYMENT));
    assertTrue(list.find(), "the deploy file names policy");
    List<String> names =
        Pattern.compile("\"([^\"]*)\"")
            .matcher(list.group(1))
            .results()
            .map(PolicySizeTest::text)
            .toList();
    TreeSet<Path> files = new TreeSet<>();
    for (String name : names) {
      files.addAll(javaFiles(Path.of(name)));
    }
    return List.copyOf(files);
  }

  private static String text(MatchResult match) {
    return match.group(1);
  }

  /** A file itself, or the files in a folder, without those in the folders in it. */
  private static List<Path> javaFiles(Path path) throws IOException {
    assertTrue(Files.exists(path), path + " exists");
    if (!Files.isDirectory(path)) {
      return List.of(path);
    }
    try (Stream<Path> files = Files.list(path)) {
      return files.filter(file -> file.toString().endsWith(".java")).toList();
    }
  }

  private static long nonBlankLines(Path file) throws IOException {
    try (Stream<String> lines = Files.lines(file)) {
      return lines.filter(line -> !line.isBlank()).count();
    }
  }

  @Test
  void allDecisionLogicIsListed() throws IOException {
    List<Path> missing =
        javaFiles(DECISION).stream()
            .filter(file -> !file.endsWith("package-info.java"))
            .collect(Collectors.toCollection(ArrayList::new));
    missing.removeAll(policy());
    assertEquals(List.of(), missing, "files of the decision engine that policy does not list");
  }

  @Test
  void decisionLogicStaysInsideItsLimits() throws IOException {
    long total = 0;
    for (Path file : policy()) {
      long lines = nonBlankLines(file);
      assertTrue(lines <= MAX_FILE_LINES, file + ": non-blank lines: " + lines);
      for (String line : Files.readAllLines(file)) {
        assertTrue(line.length() <= MAX_COLUMNS, file + ": wider than the limit: " + line);
      }
      total += lines;
    }
    assertTrue(total <= MAX_LINES, "non-blank lines in all: " + total);
  }
}
