package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the packaged jar in a process of its own. */
class PackagedJarIT {

  @TempDir Path folder;

  private int run(String input, String... args) throws IOException, InterruptedException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                System.getProperty("jar")));
    command.addAll(List.of(args));
    Files.writeString(folder.resolve("in"), input);
    Process process =
        new ProcessBuilder(command)
            .redirectInput(file("in"))
            .redirectOutput(file("out"))
            .redirectError(file("err"))
            .start();
    assertTrue(process.waitFor(1, TimeUnit.MINUTES), "exits when its input ends");
    return process.exitValue();
  }

  private File file(String name) {
    return folder.resolve(name).toFile();
  }

  private String readFile(String name) throws IOException {
    return Files.readString(folder.resolve(name), StandardCharsets.UTF_8);
  }

  @Test
  void forwardsARequestOfTheSimulator() throws IOException, InterruptedException {
    String start =
        """
        {"clock-ns":1000,"groups":[{"balancer":0,"msgs":[{"Provision":{"seed":1,\
        "boot-info":{"categories":[{"name":"c","aim-ns":400000000,"deadline-ns":2000000000,\
        "effect":"idempotent"}]}}},{"Topology":{"kind":"C","stamp":1,"entries":[{"upstream":7,\
        "region-part":"","pack":0,"stage-state":"up","capacity-hint":1}]}}]}]}
        """;
    String job =
        """
        {"clock-ns":2000,"groups":[{"balancer":0,"msgs":[{"JobIn":{"rid":"a","service":"c",\
        "drop-dead-ns":900000000}}]}]}
        """;
    assertEquals(0, run(start + job, "drill"), readFile("err"));
    assertTrue(readFile("out").contains("{\"Deliver\":{\"rid\":\"a\","), readFile("out"));
    assertEquals("", readFile("err"));
  }

  private Process serve(String config) throws IOException {
    return serve(config, List.of());
  }

  /** Starts a proxy by a wrapper command, which executes the command that follows it. */
  private Process serve(String config, List<String> wrapper) throws IOException {
    Files.writeString(folder.resolve("config"), config);
    List<String> command = new ArrayList<>(wrapper);
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-jar",
            System.getProperty("jar"),
            "serve"));
    ProcessBuilder builder = new ProcessBuilder(command).redirectError(file("err"));
    builder.environment().put("ROUTER_CONFIG", folder.resolve("config").toString());
    return builder.start();
  }

  @Test
  void servesUntilSigtermAndExitsWithZero() throws IOException, InterruptedException {
    Process process = serve(Files.readString(Path.of("deploy/example.json")));
    try {
      Matcher listening =
          Pattern.compile("listening address=/127.0.0.1:(\\d+) ").matcher(readFile("err"));
      while (!listening.find()) {
        assertTrue(process.isAlive(), readFile("err"));
        Thread.sleep(10);
        listening = listening.reset(readFile("err"));
      }
      try (Socket client =
          new Socket(InetAddress.getLoopbackAddress(), Integer.parseInt(listening.group(1)))) {
        client
            .getOutputStream()
            .write("GET /api HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        assertTrue(
            new BufferedReader(
                    new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII))
                .readLine()
                .startsWith("HTTP/1.1 400 "));
        process.destroy();
        assertTrue(
            process.waitFor(1, TimeUnit.MINUTES), "an idle client does not hold up the exit");
      }
      assertEquals(0, process.exitValue(), readFile("err"));
      assertTrue(readFile("err").contains("shutdown_complete"), readFile("err"));
    } finally {
      process.destroyForcibly();
    }
  }

  /** A Java virtual machine that does not handle SIGHUP is terminated by it. */
  @Test
  void readsTheConfigurationAgainOnSighupAndRejectsABadOneInOneLine()
      throws IOException, InterruptedException {
    String config = Files.readString(Path.of("deploy/example.json"));
    Process process = serve(config);
    try {
      awaitLine(process, "listening address=");
      Files.writeString(
          folder.resolve("config"), config.replace("127.0.0.1:8500", "127.0.0.1:8501"));
      sendSighup(process);
      awaitLine(process, "configuration_reloaded discovery=/127.0.0.1:8501");
      Files.writeString(folder.resolve("config"), "{");
      sendSighup(process);
      awaitLine(process, "configuration_rejected reason=");
      process.destroy();
      assertTrue(process.waitFor(1, TimeUnit.MINUTES), "SIGTERM is still handled");
      assertEquals(0, process.exitValue(), readFile("err"));
    } finally {
      process.destroyForcibly();
    }
  }

  /** A Java virtual machine that is started with SIGHUP ignored, as by nohup, cannot handle it. */
  @Test
  void readsTheConfigurationAgainOnAFileChangeWhereSighupIsIgnored()
      throws IOException, InterruptedException {
    String config = Files.readString(Path.of("deploy/example.json"));
    Process process =
        serve(config, List.of("/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "ignoring-sighup"));
    try {
      awaitLine(process, "sighup_ignored");
      awaitLine(process, "listening address=");
      Files.writeString(
          folder.resolve("config"), config.replace("127.0.0.1:8500", "127.0.0.1:8501"));
      sendSighup(process);
      awaitLine(process, "configuration_reloaded discovery=/127.0.0.1:8501");
    } finally {
      process.destroyForcibly();
    }
  }

  /** The process is still waiting for discovery, and no client has connected. */
  @Test
  void exitsAtOnceOnSigtermBeforeItListens() throws IOException, InterruptedException {
    try (ServerSocket discovery = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Process process =
          serve(
              Files.readString(Path.of("deploy/example.json"))
                  .replace("127.0.0.1:8500", "127.0.0.1:" + discovery.getLocalPort()));
      try (Socket silent = discovery.accept()) {
        assertTrue(silent.isConnected());
        process.destroy();
        assertTrue(process.waitFor(1, TimeUnit.MINUTES), "exits within the timeout");
        assertEquals(0, process.exitValue(), readFile("err"));
        assertFalse(readFile("err").contains("listening address="), readFile("err"));
      } finally {
        process.destroyForcibly();
      }
    }
  }

  /** Further signals during a shutdown have no effect. */
  @Test
  void shutsDownOnceOnTwoSigterms() throws IOException, InterruptedException {
    Process process = serve(Files.readString(Path.of("deploy/example.json")));
    try {
      awaitLine(process, "listening address=");
      process.destroy();
      awaitLine(process, "shutdown_started");
      process.destroy();
      sendSighup(process);
      assertTrue(process.waitFor(1, TimeUnit.MINUTES), "exits within the timeout");
      assertEquals(0, process.exitValue(), readFile("err"));
      assertEquals(
          1,
          readFile("err").lines().filter(line -> line.endsWith("shutdown_complete")).count(),
          readFile("err"));
      assertFalse(readFile("err").contains("Exception"), readFile("err"));
    } finally {
      process.destroyForcibly();
    }
  }

  private static void sendSighup(Process process) throws IOException, InterruptedException {
    assertEquals(
        0, new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor());
  }

  private void awaitLine(Process process, String expected)
      throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
    while (!readFile("err").contains(expected)) {
      assertTrue(process.isAlive(), readFile("err"));
      assertTrue(System.nanoTime() < deadlineNanos, () -> "no line with " + expected);
      Thread.sleep(10);
    }
  }

  @Test
  void reportsABadConfigurationInOneLine() throws IOException, InterruptedException {
    for (String config :
        List.of(
            "",
            "{",
            "{}",
            "{\"seed\":\"x\",\"name\":\"n\"}",
            Files.readString(Path.of("deploy/example.json"))
                .replace("127.0.0.1:0", "somewhere:8000"),
            Files.readString(Path.of("deploy/example.json")).replace("400000000", "-4"))) {
      Process process = serve(config);
      assertTrue(process.waitFor(1, TimeUnit.MINUTES), "exits within the timeout");
      assertEquals(1, process.exitValue());
      assertEquals(1, readFile("err").lines().count(), readFile("err"));
      assertTrue(readFile("err").startsWith("start_failed reason=\""), readFile("err"));
    }
  }

  @Test
  void exitsAsDocumentedForMalformedInputAndWrongUsage() throws IOException, InterruptedException {
    assertEquals(1, run("{\n", "drill"));
    assertEquals(1, readFile("err").lines().count(), readFile("err"));
    assertEquals(2, run("", "proxy"));
    assertTrue(readFile("err").startsWith("usage: "), readFile("err"));
  }
}
