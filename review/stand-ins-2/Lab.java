import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * The frame of a case: the record, the temporary folder, the load balancer's process and the verdict.
 * A case exits with 1 if the rule was broken, 0 if it held and 2 if it could not run.
 */
final class Lab {

  static final String LOOPBACK = "127.0.0.1";

  /** False if the case runs without its disruption. */
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long MAX_SECONDS = 110;

  private final Path root;
  private final Path temp;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = new ArrayList<>();

  private Lab(Path root, Path caseFolder) throws IOException {
    this.root = root;
    temp = Files.createTempDirectory("review-case-");
    record =
        new PrintWriter(
            Files.newBufferedWriter(caseFolder.resolve("record.txt"), StandardCharsets.UTF_8));
  }

  /** The steps of a case; returns what broke the rule, or null if it held. */
  interface Case {
    String run(Lab lab) throws Exception;
  }

  /** Runs a case and ends this process with its verdict. */
  static void main(Case steps) throws IOException {
    Path folder = Path.of(System.getProperty("case.folder")).toAbsolutePath();
    Lab lab = new Lab(Path.of(System.getProperty("project.root")).toAbsolutePath(), folder);
    Runtime.getRuntime().addShutdownHook(new Thread(lab::endProcesses));
    Thread limit = new Thread(() -> lab.endAfterLimit());
    limit.setDaemon(true);
    limit.start();
    int status;
    try {
      lab.log("case " + folder.getFileName() + (TROUBLE ? "" : " without the disruption"));
      String broken = steps.run(lab);
      lab.verdict(broken == null ? "VERDICT held" : "VERDICT broken: " + broken);
      status = broken == null ? 0 : 1;
    } catch (Exception e) {
      lab.verdict("VERDICT could not run: " + e + " at " + e.getStackTrace()[0]);
      status = 2;
    }
    lab.endProcesses();
    lab.keepProxyLog();
    lab.deleteTemp();
    Runtime.getRuntime().halt(status);
  }

  private void endAfterLimit() {
    sleep(MAX_SECONDS * 1000);
    verdict("VERDICT could not run: time limit of the case");
    endProcesses();
    Runtime.getRuntime().halt(2);
  }

  private boolean hasVerdict;

  /** Writes the verdict; what happens after it is not recorded. */
  private synchronized void verdict(String line) {
    log(line);
    hasVerdict = true;
    System.out.println(line);
  }

  /** Writes a line with the time since the start to the record. */
  synchronized void log(String line) {
    if (hasVerdict) {
      return;
    }
    record.printf(Locale.ROOT, "%9.3f %s%n", (System.nanoTime() - startNanos) / 1e9, line);
    record.flush();
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns a port that is free now. */
  static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(InetAddress.getByName(LOOPBACK), 0));
      return socket.getLocalPort();
    }
  }

  /** One load balancer, started with `run` of the deploy file. */
  static final class Proxy {
    final int port;
    private final Process process;

    private Proxy(int port, Process process) {
      this.port = port;
      this.process = process;
    }

    boolean isAlive() {
      return process.isAlive();
    }
  }

  /** Returns the configuration of an instance, as on the deployment page. */
  private static String configuration(int port, int discoveryPort, String knownList, String settings) {
    return "{\n \"name\":\"n0\",\n \"listen\":\""
        + LOOPBACK + ":" + port
        + "\",\n \"discovery\":\""
        + LOOPBACK + ":" + discoveryPort
        + "\",\n \"seed\":\"8c1f30d27a5be964\",\n"
        + " \"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n \"known\":"
        + knownList
        + ",\n \"settings\":"
        + settings
        + "\n}\n";
  }

  /** Starts a load balancer and returns when its health check says yes. */
  Proxy startProxy(int port, int discoveryPort, String knownList, String settings)
      throws Exception {
    Path config = temp.resolve("config.json");
    Files.writeString(config, configuration(port, discoveryPort, knownList, settings));
    Path tmp = Files.createDirectories(temp.resolve("tmp"));
    ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
    builder.directory(root.toFile());
    builder.redirectErrorStream(true);
    builder.redirectOutput(temp.resolve("proxy.log").toFile());
    Map<String, String> environment = builder.environment();
    environment.put("ROUTER_NAME", "n0");
    environment.put("ROUTER_LISTEN", LOOPBACK + ":" + port);
    environment.put("ROUTER_DISCOVERY", LOOPBACK + ":" + discoveryPort);
    environment.put("ROUTER_CONFIG", config.toString());
    environment.put("TMPDIR", tmp.toString());
    Process process = builder.start();
    processes.add(process);
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (System.nanoTime() < limit && process.isAlive()) {
      try (Client client = new Client(port, 1000)) {
        if (client.exchange("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n", 1000).status == 200) {
          log("load balancer ready on port " + port);
          return new Proxy(port, process);
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      sleep(50);
    }
    throw new IOException("the load balancer did not get ready");
  }

  private String runCommand() throws IOException {
    Matcher matcher =
        Pattern.compile("(?m)^run\\s*=\\s*\"(.*?)\"")
            .matcher(Files.readString(root.resolve("deploy/balancer.toml")));
    if (!matcher.find()) {
      throw new IOException("no run command in the deploy file");
    }
    return matcher.group(1);
  }

  private void endProcesses() {
    for (Process process : processes) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private void keepProxyLog() throws IOException {
    Path proxyLog = temp.resolve("proxy.log");
    if (Files.exists(proxyLog)) {
      record.println("--- log of the load balancer");
      record.println(Files.readString(proxyLog));
      record.flush();
    }
  }

  private void deleteTemp() {
    try (Stream<Path> files = Files.walk(temp)) {
      files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
    } catch (IOException e) {
      // It stays behind in the folder for temporary files.
    }
  }

  /** Settings of a small deployment: the example of the wire page with one data centre. */
  static String settings(String discoveryMode) {
    return "{\"areas\":[\"wdh-north\"],\"categories\":["
        + "{\"aim-ns\":600000000,\"deadline-ns\":2000000000,\"dedup-scope\":\"all\","
        + "\"effect\":\"idempotent\",\"gain\":3.0,\"late-worth\":0.0,\"name\":\"clip-fetch\","
        + "\"stream\":false,\"window-ns\":5000000000},"
        + "{\"aim-ns\":2000000000,\"deadline-ns\":7500000000,\"dedup-scope\":\"all\","
        + "\"effect\":\"at_most_once\",\"gain\":5.0,\"late-worth\":0.0,\"name\":\"reel-publish\","
        + "\"stream\":false,\"window-ns\":5000000000},"
        + "{\"aim-ns\":2000000000,\"deadline-ns\":4000000000,\"dedup-scope\":\"zone\","
        + "\"effect\":\"deduplicated\",\"gain\":3.0,\"late-worth\":0.0,\"name\":\"clip-cut\","
        + "\"stream\":false,\"window-ns\":7500000000}],"
        + "\"clients\":{\"marks-retry\":false},"
        + "\"contract\":{\"answer-slack-ns\":20000000,\"ask-within-ns\":10000000000,"
        + "\"cold-from\":0.14,\"drain-grace-ns\":500000000,\"fall-multiple\":2.5,"
        + "\"overload-for-ns\":2000000000,\"warm-within-ns\":22000000000},"
        + "\"counted-by\":\"request\",\"domain\":{\"warm-keys\":true},"
        + "\"group-size\":1,\"kinds\":[\"fast-2c\"],"
        + "\"limits\":{\"cancel\":true,\"conn-idle-ns\":15000000000,"
        + "\"connect-timeout-ns\":250000000,\"max-attempts\":5,\"max-retry-after-ns\":2500000000,"
        + "\"most-held\":20000,\"multiplex\":1,\"peers\":false,\"probing\":true,"
        + "\"retry-after\":true,\"second-copies\":true},"
        + "\"me\":0,\"over-share-worth\":0.05,"
        + "\"projects\":[{\"name\":\"nbc-sport\",\"portion\":1.0,\"quota-per-s\":60.0}],"
        + "\"registry-mode\":\"" + discoveryMode + "\","
        + "\"report\":{\"fields\":[\"util\",\"eps\",\"queue\"],\"how\":\"answers\"},"
        + "\"resolution-ns\":5000000,\"service-type\":\"proxy\",\"stage\":0,"
        + "\"tiers\":[\"replay-web\"],\"weight-kind\":\"none\",\"zone\":\"wdh-north\"}";
  }
}
