package loadbalancer.soak;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Test fixture of one proxy process with its upstreams and its discovery agent. */
final class SingleProxy implements AutoCloseable {

  /** Maximum wait for an event that a test requires. The test fails when it expires. */
  static final long TIMEOUT_MILLIS = 60_000;

  private static final Path HOME = Path.of(System.getProperty("proxy.home")).toAbsolutePath();
  private static final long UPSTREAM_LATENCY_MILLIS = 5;
  private static final long SEED = 7;

  final EndpointCatalogue catalogue = new EndpointCatalogue();
  final AttemptLog attempts = new AttemptLog();
  final List<FakeUpstream> upstreams = new ArrayList<>();
  final ProxyProcess process;
  final DiscoveryAgent agent;
  private final Deployment deployment;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private int requests;

  /**
   * Starts the upstreams and the agent and configures the proxy, but does not start its process.
   *
   * @param startedUnixMillis the start time of each upstream; 0 if it started long ago
   */
  SingleProxy(Path folder, Deployment deployment, long... startedUnixMillis)
      throws IOException, InterruptedException {
    this.deployment = deployment;
    Files.createDirectories(folder);
    process = new ProxyProcess(HOME, folder.resolve("n0"), FaultLibrary.build(HOME, folder), SEED);
    for (long started : startedUnixMillis) {
      FakeUpstream upstream =
          new FakeUpstream(
              group.next(), "s" + upstreams.size(), attempts, UPSTREAM_LATENCY_MILLIS, SEED);
      upstream.start(started);
      upstreams.add(upstream);
      addChange(upstream, EndpointEntry.Phase.READY, started);
    }
    agent = new DiscoveryAgent(group.next(), catalogue);
    configure(agent);
  }

  /**
   * Adds a change to the catalogue and returns its revision. The agent publishes it after {@link
   * DiscoveryAgent#advanceTo}.
   */
  int addChange(FakeUpstream upstream, EndpointEntry.Phase phase, long startedUnixMillis) {
    return catalogue.add(
        new EndpointEntry(upstream.name(), upstream.address(), phase, startedUnixMillis));
  }

  void configure(DiscoveryAgent discovery) throws IOException {
    process.configure(
        deployment.configuration(
            0,
            process.address(),
            discovery.address(),
            catalogue.completeList(catalogue.revision(), false),
            SEED));
  }

  /** Starts another agent, which has the current list of another catalogue. */
  DiscoveryAgent newAgent(EndpointCatalogue other) {
    return new DiscoveryAgent(group.next(), other);
  }

  SingleProxy start() throws IOException, InterruptedException {
    process.start();
    assertTrue(process.awaitReady(TIMEOUT_MILLIS), process.log());
    return this;
  }

  void awaitLog(String text) throws IOException, InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    while (!process.log().contains(text)) {
      assertTrue(System.nanoTime() < until, "no " + text + " in " + process.log());
      Thread.sleep(5);
    }
  }

  ClientConnection connect() throws IOException {
    return new ClientConnection(process.port());
  }

  /** Returns an idempotent request with a unique trace id. */
  String readRequest(long remainingMillis) {
    return readRequest("t" + requests++, remainingMillis);
  }

  static String readRequest(String traceId, long remainingMillis) {
    return "GET /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: "
        + traceId
        + "\r\nX-Qos: read\r\nX-Customer: all\r\nX-Expires-In-Ms: "
        + remainingMillis
        + "\r\n\r\n";
  }

  /** Sends a request and waits for its response, at most for the given time. */
  static ClientConnection.Response exchange(
      ClientConnection client, String request, long waitMillis) throws IOException {
    client.write(request);
    return client.read(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis));
  }

  /** Returns the number of attempts that have reached an upstream. */
  long attemptsAt(FakeUpstream upstream) {
    return attempts.all().stream()
        .flatMap(List::stream)
        .filter(attempt -> attempt.endpoint().equals(upstream.name()))
        .count();
  }

  @Override
  public void close() {
    process.close();
    agent.close();
    upstreams.forEach(FakeUpstream::close);
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
