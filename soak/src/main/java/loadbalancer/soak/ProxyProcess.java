package loadbalancer.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A proxy process, started as the platform does: by the {@code run} command of the deploy file, in
 * the repository's directory, with the system call fault library preloaded. It can be restarted
 * after its end.
 */
final class ProxyProcess implements AutoCloseable {

  /**
   * Starts all processes. A process ends with the thread that started it (see the fault library),
   * so this thread lives as long as the harness.
   */
  private static final ExecutorService SPAWNER =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "process-spawner");
            thread.setDaemon(true);
            return thread;
          });

  private static final long POLL_MILLIS = 10;

  private final Path home;
  private final Path folder;
  private final Path library;
  private final FaultControl faults;
  private final int port;
  private Path logFile;
  private Process process;

  /**
   * Creates a proxy that has not been started.
   *
   * @param home the repository's directory, with a built jar
   * @param folder the directory for its configuration, control file and log
   * @param library the path of the fault library
   * @param seed the seed of system calls that fail at random
   */
  ProxyProcess(Path home, Path folder, Path library, long seed) throws IOException {
    this.home = home;
    this.folder = Files.createDirectories(folder);
    this.library = library;
    faults = new FaultControl(folder.resolve("faults"), seed);
    port = Sockets.freePort();
    logFile = folder.resolve("log");
  }

  /** Returns the port that the proxy listens on. */
  int port() {
    return port;
  }

  String address() {
    return "127.0.0.1:" + port;
  }

  FaultControl faults() {
    return faults;
  }

  /** Sets the file or pipe that later incarnations write their log to. */
  void setLogFile(Path file) {
    logFile = file;
  }

  /** Returns the log of all incarnations so far. */
  String log() throws IOException {
    return Files.exists(logFile) ? Files.readString(logFile, StandardCharsets.UTF_8) : "";
  }

  /** Replaces the configuration file atomically. */
  void configure(ObjectNode configuration) throws IOException {
    Path next = folder.resolve("config.next");
    Files.writeString(next, configuration.toString());
    Files.move(
        next,
        folder.resolve("config.json"),
        StandardCopyOption.ATOMIC_MOVE,
        StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts the process and returns without waiting until it is ready. */
  void start() throws IOException, InterruptedException {
    String run =
        new TomlMapper()
            .readTree(home.resolve("deploy/balancer.toml").toFile())
            .get("run")
            .asText();
    Path temporary = Files.createDirectories(folder.resolve("tmp"));
    ProcessBuilder builder =
        new ProcessBuilder("/bin/sh", "-c", run)
            .directory(home.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
            .redirectInput(new File("/dev/null"));
    builder.environment().put("ROUTER_CONFIG", folder.resolve("config.json").toString());
    builder.environment().put("TMPDIR", temporary.toString());
    builder.environment().put("LD_PRELOAD", library.toString());
    builder.environment().put("FAULT_PARENT", Long.toString(ProcessHandle.current().pid()));
    builder.environment().put("FAULT_CONTROL", faults.file().toString());
    try {
      process = SPAWNER.submit(builder::start).get();
    } catch (ExecutionException e) {
      throw new IOException("cannot start a proxy", e.getCause());
    }
  }

  /**
   * Waits until {@code GET /healthz} returns 200. Returns false if it does not in time or the
   * process ends.
   */
  boolean awaitReady(long maxMillis) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(maxMillis);
    while (System.nanoTime() < until && process.isAlive()) {
      if (isHealthy()) {
        return true;
      }
      Thread.sleep(POLL_MILLIS);
    }
    return false;
  }

  private boolean isHealthy() {
    try (ClientConnection connection = new ClientConnection(port)) {
      connection.write("GET /healthz HTTP/1.1\r\nHost: backend.local\r\n\r\n");
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(1);
      return connection.read(until).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns the exit status of a process that has ended. */
  int exitValue() {
    return process.exitValue();
  }

  /** Waits until the process has ended; returns false if it does not in time. */
  boolean awaitExit(long maxMillis) throws InterruptedException {
    return process.waitFor(maxMillis, TimeUnit.MILLISECONDS);
  }

  /** Returns the resources that the process has used so far. */
  ProcessUsage usage() throws IOException {
    return ProcessUsage.of(process.pid());
  }

  /** Sends SIGTERM. */
  void terminate() {
    process.destroy();
  }

  /** Sends SIGHUP. */
  void sendHangUp() throws IOException, InterruptedException {
    sendSignal("HUP");
  }

  /** Sends a signal, given by its name without the prefix SIG. */
  void sendSignal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  /** Sends SIGKILL. */
  void kill() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @Override
  public void close() {
    kill();
    if (process != null) {
      process.onExit().join();
    }
  }
}
