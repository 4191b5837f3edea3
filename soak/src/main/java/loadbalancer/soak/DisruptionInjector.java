package loadbalancer.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import loadbalancer.soak.FaultControl.Call;
import loadbalancer.soak.FaultControl.Errno;

/** Injects the disruptions of a run, each on a separate thread. */
final class DisruptionInjector implements AutoCloseable {

  private static final int FAILURES_PER_MILLION = 300_000;
  private static final int SHORT_READ_BYTES = 7;
  private static final int SHORT_WRITE_BYTES = 11;
  private static final long MAX_CALL_FAILURE_MILLIS = 250;
  private static final long ACCEPT_FAILURE_DELAY_MILLIS = 100;
  private static final long ACCEPT_FAILURE_MILLIS = 550;
  private static final long MAX_PAUSE_MILLIS = 150;
  private static final long RELOAD_INTERVAL_MILLIS = 300;
  private static final long TERMINATION_TIMEOUT_MILLIS = 20_000;

  private static final List<Duration> CLOCK_STEPS =
      List.of(
          Duration.ofSeconds(5),
          Duration.ofSeconds(-5),
          Duration.ofHours(1),
          Duration.ofHours(-1),
          Duration.ZERO);

  private final List<ProxyNode> proxies;
  private final EndpointFleet endpoints;
  private final DiscoveryDisruptions discovery;

  private final ExecutorService executor = Executors.newCachedThreadPool();

  DisruptionInjector(
      List<ProxyNode> proxies, EndpointFleet endpoints, EndpointCatalogue catalogue) {
    this.proxies = proxies;
    this.endpoints = endpoints;
    discovery = new DiscoveryDisruptions(proxies, endpoints, catalogue);
  }

  /** Returns whether discovery is down, in which case no agent receives changes. */
  boolean isDiscoveryDown() {
    return discovery.isDown();
  }

  /** Starts a disruption and returns without waiting for its end. */
  void start(Disruption disruption) {
    executor.execute(
        () -> {
          try {
            inject(disruption);
          } catch (IOException e) {
            throw new UncheckedIOException(disruption.toString(), e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private void inject(Disruption disruption) throws IOException, InterruptedException {
    ProxyNode proxy = proxies.get(disruption.target() % proxies.size());
    long millis = disruption.durationMillis();
    switch (disruption.kind()) {
      case RESTART -> restart(proxy, millis);
      case RESTART_WHILE_ACCEPTING_FAILS -> {
        failAcceptAroundListenerClose(proxy);
        restart(proxy, millis);
      }
      case KILL -> kill(proxy, millis);
      case KILL_AND_FAIL_AT_START -> {
        proxy.process().faults().failNext(Call.BIND, 2, Errno.ENOBUFS);
        kill(proxy, millis);
      }
      case KILL_AND_STEP_CLOCK -> {
        stepClock(proxy, disruption);
        kill(proxy, millis);
      }
      case RELOAD -> reload(proxy, 1);
      case RELOAD_TWICE -> reload(proxy, 2);
      case RELOAD_AND_RESTART -> reloadAndRestart(proxy, millis);
      case DISCOVERY_DOWN -> discovery.takeDown(2 * millis);
      case WATCHES_SILENT -> proxy.silenceWatches();
      case WATCHES_RESET -> proxy.agent().resetWatches();
      case COMPLETE_LISTS -> {
        proxy.agent().setStartsWithCompleteList(true);
        proxy.agent().resetWatches();
      }
      case RELEASE -> endpoints.replace(disruption.target());
      case RELEASE_ALL -> discovery.releaseAll();
      case ENDPOINT_RESTART -> endpoints.restart(disruption.target(), millis);
      case ENDPOINT_MODE ->
          endpoints.runInMode(disruption.target(), selectMode(disruption), millis);
      case SYSTEM_CALLS -> failSystemCalls(proxy, disruption);
      case WALL_CLOCK -> stepClock(proxy, disruption);
      case PAUSE -> pause(proxy, Math.min(MAX_PAUSE_MILLIS, millis));
      case HOSTILE_CLIENTS -> runHostileClients(proxy, disruption);
    }
  }

  private static void stepClock(ProxyNode proxy, Disruption disruption) {
    Duration offset = CLOCK_STEPS.get(disruption.variant() % CLOCK_STEPS.size());
    proxy.process().faults().shiftWallClock(offset);
  }

  /**
   * Lets accept fail from 0.1 s to 0.65 s after SIGTERM. The listener is due to close 0.55 s after
   * SIGTERM, while clients that connected in the meantime have not been accepted.
   */
  private void failAcceptAroundListenerClose(ProxyNode proxy) {
    executor.execute(
        () -> {
          try {
            Thread.sleep(ACCEPT_FAILURE_DELAY_MILLIS);
            proxy.process().faults().failAll(Call.ACCEPT, Errno.ENFILE);
            Thread.sleep(ACCEPT_FAILURE_MILLIS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } finally {
            proxy.process().faults().clear(Call.ACCEPT);
          }
        });
  }

  private static void restart(ProxyNode proxy, long pauseMillis)
      throws IOException, InterruptedException {
    if (proxy.tryReserve()) {
      proxy.restart(pauseMillis);
    }
  }

  private static void kill(ProxyNode proxy, long pauseMillis)
      throws IOException, InterruptedException {
    if (proxy.tryReserve()) {
      proxy.killAndRestart(pauseMillis);
    }
  }

  private static void reload(ProxyNode proxy, int times) throws IOException, InterruptedException {
    for (int i = 0; i < times && proxy.isAvailable(); i++) {
      proxy.reload();
      Thread.sleep(RELOAD_INTERVAL_MILLIS);
    }
  }

  private static void reloadAndRestart(ProxyNode proxy, long pauseMillis)
      throws IOException, InterruptedException {
    reload(proxy, 1);
    restart(proxy, pauseMillis);
  }

  private static void pause(ProxyNode proxy, long millis) throws IOException, InterruptedException {
    if (proxy.isAvailable()) {
      proxy.pause(millis);
    }
  }

  private static void runHostileClients(ProxyNode proxy, Disruption disruption)
      throws InterruptedException {
    HostileClients.Variant[] variants = HostileClients.Variant.values();
    HostileClients.Variant variant = variants[disruption.variant() % variants.length];
    new HostileClients(proxy.process().port(), variant, disruption.durationMillis()).run();
  }

  private static FakeUpstream.Mode selectMode(Disruption disruption) {
    FakeUpstream.Mode[] modes = FakeUpstream.Mode.values();
    return modes[1 + disruption.variant() % (modes.length - 1)];
  }

  private static void failSystemCalls(ProxyNode proxy, Disruption disruption)
      throws InterruptedException {
    FaultControl faults = proxy.process().faults();
    List<Errno> exhaustionErrors = List.of(Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS);
    Errno exhaustionError = exhaustionErrors.get(disruption.variant() % exhaustionErrors.size());
    Call call =
        Call.values()[disruption.variant() / exhaustionErrors.size() % Call.values().length];
    boolean isFirstVariant = disruption.target() % 2 == 0;
    switch (call) {
      case ACCEPT, SOCKET -> failOnceOrAll(faults, call, exhaustionError, isFirstVariant);
      case BIND -> faults.failNext(call, 2, exhaustionError); // Takes effect at the next start.
      case CONNECT ->
          faults.failAll(call, isFirstVariant ? Errno.EADDRNOTAVAIL : Errno.ENETUNREACH);
      case READ -> interruptOrCutShort(faults, call, isFirstVariant, SHORT_READ_BYTES);
      case WRITE -> interruptOrCutShort(faults, call, isFirstVariant, SHORT_WRITE_BYTES);
      case WAIT -> faults.failSome(call, FAILURES_PER_MILLION, Errno.EINTR);
    }
    boolean lastsFullDuration = call == Call.READ || call == Call.WRITE || call == Call.WAIT;
    long millis = disruption.durationMillis();
    Thread.sleep(lastsFullDuration ? millis : Math.min(MAX_CALL_FAILURE_MILLIS, millis));
    if (call != Call.BIND) {
      faults.clear(call);
    }
  }

  private static void failOnceOrAll(FaultControl faults, Call call, Errno error, boolean once) {
    if (once) {
      faults.failNext(call, 1, error);
    } else {
      faults.failAll(call, error);
    }
  }

  private static void interruptOrCutShort(
      FaultControl faults, Call call, boolean interrupted, int bytes) {
    if (interrupted) {
      faults.failSome(call, FAILURES_PER_MILLION, Errno.EINTR);
    } else {
      faults.cutShort(call, bytes);
    }
  }

  /** Waits for the disruptions that have not ended. */
  @Override
  public void close() {
    executor.shutdown();
    try {
      executor.awaitTermination(TERMINATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
