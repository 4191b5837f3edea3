package loadbalancer.soak;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.commons.rng.simple.RandomSource;

/** A single run: starts a fleet, generates traffic, injects disruptions and checks the result. */
final class SoakRun implements AutoCloseable {

  /** Maximum delay between a change of the endpoint list and its delivery to an agent. */
  private static final int MAX_LIST_DELAY_MILLIS = 1000;

  private static final int CLIENTS_PER_PROXY = 4;
  private static final long PROGRESS_INTERVAL_MILLIS = 5000;
  private static final long POLL_INTERVAL_MILLIS = 20;

  private final SoakOptions options;
  private final Deployment deployment;
  private final PrintStream progress;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
  private final ScheduledExecutorService deliveryExecutor =
      Executors.newSingleThreadScheduledExecutor();
  private final EndpointCatalogue catalogue = new EndpointCatalogue();
  private final AttemptLog attempts = new AttemptLog();
  private final NotificationLog notifications = new NotificationLog();
  private final List<ProxyNode> proxies = new ArrayList<>();
  private final List<ClientWorker> workers = new ArrayList<>();
  private final EndpointFleet endpoints;
  private final DisruptionInjector disruptionInjector;

  /**
   * Prepares a run.
   *
   * @param folder the directory for the proxies' configurations and logs
   * @param progress receives a progress line every few seconds
   */
  SoakRun(SoakOptions options, Path folder, PrintStream progress)
      throws IOException, InterruptedException {
    this.options = options;
    this.progress = progress;
    deployment = Deployment.of(options.processes, options.endpoints);
    endpoints = new EndpointFleet(group, catalogue, attempts, options.endpoints, this::publish);
    Path home = options.home.toAbsolutePath();
    Path library = FaultLibrary.build(home, folder);
    for (int i = 0; i < options.processes; i++) {
      ProxyProcess process =
          new ProxyProcess(home, folder.resolve("n" + i), library, options.seed + i);
      proxies.add(new ProxyNode(i, deployment, process, catalogue, notifications, group.next()));
    }
    disruptionInjector = new DisruptionInjector(proxies, endpoints, catalogue);
  }

  /** Delivers a revision to each agent after a random delay, unless discovery is down by then. */
  private void publish(int revision) {
    for (ProxyNode proxy : List.copyOf(proxies)) {
      int delay = ThreadLocalRandom.current().nextInt(MAX_LIST_DELAY_MILLIS);
      deliveryExecutor.schedule(() -> deliver(proxy, revision), delay, TimeUnit.MILLISECONDS);
    }
  }

  private void deliver(ProxyNode proxy, int revision) {
    if (!disruptionInjector.isDiscoveryDown()) {
      proxy.deliver(revision);
    }
  }

  /** Executes the run, checks the invariants and returns the report. */
  SoakReport run() throws IOException, InterruptedException {
    startAll();
    List<Disruption> disruptions =
        DisruptionGenerator.generate(
            options.seed, TimeUnit.SECONDS.toMillis(options.seconds), options.processes);
    AtomicBoolean running = new AtomicBoolean(true);
    List<Thread> clients = startClients(running);
    long startNanos = System.nanoTime();
    injectDisruptions(disruptions, startNanos);
    running.set(false);
    for (Thread client : clients) {
      client.join();
    }
    disruptionInjector.close();
    terminateAll();
    return createReport(disruptions, startNanos);
  }

  private void startAll() throws IOException, InterruptedException {
    List<Thread> starts = new ArrayList<>();
    for (ProxyNode proxy : proxies) {
      Thread thread = new Thread(() -> start(proxy), "start-" + proxy.index());
      thread.start();
      starts.add(thread);
    }
    for (Thread thread : starts) {
      thread.join();
    }
    progress.println(proxies.size() + " proxies are ready");
  }

  private static void start(ProxyNode proxy) {
    try {
      proxy.start();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private List<Thread> startClients(AtomicBoolean running) {
    AtomicLong lastTraceNumber = new AtomicLong();
    List<Thread> threads = new ArrayList<>();
    for (ProxyNode proxy : proxies) {
      for (int i = 0; i < CLIENTS_PER_PROXY; i++) {
        long seed = options.seed * 1_000_003 + 31L * proxy.index() + i;
        ClientWorker worker =
            new ClientWorker(
                proxy,
                deployment,
                attempts,
                RandomSource.XO_RO_SHI_RO_128_PP.create(seed),
                options.requestsPerSecond / CLIENTS_PER_PROXY,
                lastTraceNumber,
                running::get);
        workers.add(worker);
        Thread thread = new Thread(worker, "client-" + proxy.index() + "-" + i);
        thread.setDaemon(true);
        thread.start();
        threads.add(thread);
      }
    }
    return threads;
  }

  private void injectDisruptions(List<Disruption> disruptions, long startNanos)
      throws InterruptedException {
    long endMillis = TimeUnit.SECONDS.toMillis(options.seconds);
    long nextProgress = PROGRESS_INTERVAL_MILLIS;
    int next = 0;
    for (long now = 0; now < endMillis; now = millisSince(startNanos)) {
      while (next < disruptions.size() && disruptions.get(next).atMillis() <= now) {
        disruptionInjector.start(disruptions.get(next++));
      }
      proxies.forEach(ProxyNode::checkForCrash);
      if (now >= nextProgress) {
        nextProgress += PROGRESS_INTERVAL_MILLIS;
        int sent = attempts.all().size();
        progress.println(
            now / 1000 + " s: " + next + " disruptions, " + sent + " requests at upstreams");
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private static long millisSince(long startNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }

  /** Shuts all proxies down as a planned restart does. */
  private void terminateAll() throws InterruptedException {
    List<Thread> ends = new ArrayList<>();
    for (ProxyNode proxy : proxies) {
      if (proxy.tryReserve()) {
        Thread thread = new Thread(() -> terminate(proxy), "end-" + proxy.index());
        thread.start();
        ends.add(thread);
      }
    }
    for (Thread thread : ends) {
      thread.join();
    }
  }

  private static void terminate(ProxyNode proxy) {
    try {
      proxy.terminateOrKill();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private SoakReport createReport(List<Disruption> disruptions, long startNanos)
      throws IOException {
    List<RequestRecord> requests = new ArrayList<>();
    workers.forEach(worker -> requests.addAll(worker.records()));
    InvariantChecker checker =
        new InvariantChecker(
            deployment,
            attempts,
            notifications,
            proxies.stream().map(ProxyNode::eventLog).toList());
    List<Violation> violations = new ArrayList<>(checker.check(requests));
    workers.forEach(worker -> violations.addAll(worker.violations()));
    for (ProxyNode proxy : proxies) {
      violations.addAll(proxy.eventLog().violations());
      violations.addAll(LogChecker.check(proxy));
    }
    violations.sort(Comparator.comparingLong(Violation::atNanos));
    ViolationHistory history =
        new ViolationHistory(requests, attempts, notifications, proxies, disruptions, startNanos);
    return SoakReport.of(options, requests, disruptions, violations, history);
  }

  @Override
  public void close() {
    deliveryExecutor.shutdownNow();
    proxies.forEach(ProxyNode::close);
    endpoints.close();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
