package loadbalancer.soak;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.soak.FaultControl.Call;
import loadbalancer.soak.FaultControl.Errno;

/** Injects the disruptions of a run, each on a separate thread. */
final class TroubleMaker implements AutoCloseable {

  private static final int SOME_PER_MILLION = 300_000;
  private static final int SHORT_READ_BYTES = 7;
  private static final int SHORT_WRITE_BYTES = 11;
  private static final long MAX_CALL_FAILURE_MILLIS = 250;
  private static final long ACCEPT_FAILS_AFTER_TERM_MILLIS = 100;
  private static final long ACCEPT_FAILS_MILLIS = 550;
  private static final long MAX_PAUSE_MILLIS = 150;
  private static final long RELOAD_GAP_MILLIS = 300;
  private static final long END_MILLIS = 20_000;

  private static final List<Duration> CLOCK_STEPS =
      List.of(
          Duration.ofSeconds(5),
          Duration.ofSeconds(-5),
          Duration.ofHours(1),
          Duration.ofHours(-1),
          Duration.ZERO);

  private final List<ProxyNode> proxies;
  private final EndpointFleet endpoints;
  private final EndpointCatalogue catalogue;
  private final AtomicInteger outages = new AtomicInteger();
  private final ExecutorService threads = Executors.newCachedThreadPool();

  TroubleMaker(List<ProxyNode> proxies, EndpointFleet endpoints, EndpointCatalogue catalogue) {
    this.proxies = proxies;
    this.endpoints = endpoints;
    this.catalogue = catalogue;
  }

  /** Returns whether discovery is down, in which case no agent receives changes. */
  boolean isDiscoveryDown() {
    return outages.get() > 0;
  }

  /** Starts a disruption and returns without waiting for its end. */
  void begin(Trouble trouble) {
    threads.execute(
        () -> {
          try {
            carryOut(trouble);
          } catch (IOException e) {
            throw new UncheckedIOException(trouble.toString(), e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private void carryOut(Trouble trouble) throws IOException, InterruptedException {
    ProxyNode proxy = proxies.get(trouble.target() % proxies.size());
    long millis = trouble.durationMillis();
    switch (trouble.kind()) {
      case RESTART -> restart(proxy, millis);
      case RESTART_WHILE_ACCEPTING_FAILS -> {
        failAcceptingAroundTheClose(proxy);
        restart(proxy, millis);
      }
      case KILL -> kill(proxy, millis);
      case KILL_AND_FAIL_AT_START -> {
        proxy.process().faults().failNext(Call.BIND, 2, Errno.ENOBUFS);
        kill(proxy, millis);
      }
      case KILL_AND_STEP_CLOCK -> {
        stepClock(proxy, trouble);
        kill(proxy, millis);
      }
      case RELOAD -> reload(proxy, 1);
      case RELOAD_TWICE -> reload(proxy, 2);
      case RELOAD_AND_RESTART -> {
        reload(proxy, 1);
        restart(proxy, millis);
      }
      case DISCOVERY_DOWN -> discoveryDown(2 * millis);
      case WATCHES_SILENT -> proxy.silenceWatches();
      case WATCHES_RESET -> proxy.agent().resetWatches();
      case COMPLETE_LISTS -> {
        proxy.agent().setFirstAnswerComplete(true);
        proxy.agent().resetWatches();
      }
      case RELEASE -> endpoints.release(trouble.target());
      case ENDPOINT_RESTART -> endpoints.restart(trouble.target(), millis);
      case ENDPOINT_MODE -> endpoints.misbehave(trouble.target(), mode(trouble), millis);
      case SYSTEM_CALLS -> failSystemCalls(proxy, trouble);
      case WALL_CLOCK -> stepClock(proxy, trouble);
      case PAUSE -> pause(proxy, Math.min(MAX_PAUSE_MILLIS, millis));
    }
  }

  private static void stepClock(ProxyNode proxy, Trouble trouble) {
    Duration offset = CLOCK_STEPS.get(trouble.variant() % CLOCK_STEPS.size());
    proxy.process().faults().shiftWallClock(offset);
  }

  /**
   * Lets accept fail from 0.1 s to 0.65 s after SIGTERM. The listener is due to close 0.55 s after
   * SIGTERM, while clients that connected in the meantime have not been accepted.
   */
  private void failAcceptingAroundTheClose(ProxyNode proxy) {
    threads.execute(
        () -> {
          try {
            Thread.sleep(ACCEPT_FAILS_AFTER_TERM_MILLIS);
            proxy.process().faults().failAll(Call.ACCEPT, Errno.ENFILE);
            Thread.sleep(ACCEPT_FAILS_MILLIS);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          } finally {
            proxy.process().faults().clear(Call.ACCEPT);
          }
        });
  }

  private static void restart(ProxyNode proxy, long pauseMillis)
      throws IOException, InterruptedException {
    if (proxy.reserve()) {
      proxy.restart(pauseMillis);
    }
  }

  private static void kill(ProxyNode proxy, long pauseMillis)
      throws IOException, InterruptedException {
    if (proxy.reserve()) {
      proxy.killAndStart(pauseMillis);
    }
  }

  private static void reload(ProxyNode proxy, int times) throws IOException, InterruptedException {
    for (int i = 0; i < times && proxy.isIdle(); i++) {
      proxy.reload();
      Thread.sleep(RELOAD_GAP_MILLIS);
    }
  }

  private static void pause(ProxyNode proxy, long millis) throws IOException, InterruptedException {
    if (proxy.isIdle()) {
      proxy.pause(millis);
    }
  }

  private void discoveryDown(long millis) throws InterruptedException {
    if (outages.getAndIncrement() == 0) {
      proxies.forEach(proxy -> proxy.agent().setDown(true));
    }
    Thread.sleep(millis);
    if (outages.decrementAndGet() == 0) {
      proxies.forEach(proxy -> proxy.agent().setDown(false));
      proxies.forEach(proxy -> proxy.learn(catalogue.revision()));
    }
  }

  private static StandInUpstream.Mode mode(Trouble trouble) {
    StandInUpstream.Mode[] modes = StandInUpstream.Mode.values();
    return modes[1 + trouble.variant() % (modes.length - 1)];
  }

  private static void failSystemCalls(ProxyNode proxy, Trouble trouble)
      throws InterruptedException {
    FaultControl faults = proxy.process().faults();
    List<Errno> shortages = List.of(Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS);
    Errno shortage = shortages.get(trouble.variant() % shortages.size());
    Call call = Call.values()[trouble.variant() / shortages.size() % Call.values().length];
    boolean once = trouble.target() % 2 == 0;
    switch (call) {
      case ACCEPT, SOCKET -> failFor(faults, call, shortage, once);
      case BIND -> faults.failNext(call, 2, shortage); // Takes effect at the next start.
      case CONNECT -> faults.failAll(call, once ? Errno.EADDRNOTAVAIL : Errno.ENETUNREACH);
      case READ -> interrupt(faults, call, once, SHORT_READ_BYTES);
      case WRITE -> interrupt(faults, call, once, SHORT_WRITE_BYTES);
      case WAIT -> faults.failSome(call, SOME_PER_MILLION, Errno.EINTR);
    }
    boolean harmless = call == Call.READ || call == Call.WRITE || call == Call.WAIT;
    long millis = trouble.durationMillis();
    Thread.sleep(harmless ? millis : Math.min(MAX_CALL_FAILURE_MILLIS, millis));
    if (call != Call.BIND) {
      faults.clear(call);
    }
  }

  private static void failFor(FaultControl faults, Call call, Errno error, boolean once) {
    if (once) {
      faults.failNext(call, 1, error);
    } else {
      faults.failAll(call, error);
    }
  }

  private static void interrupt(FaultControl faults, Call call, boolean interrupted, int bytes) {
    if (interrupted) {
      faults.failSome(call, SOME_PER_MILLION, Errno.EINTR);
    } else {
      faults.cutShort(call, bytes);
    }
  }

  /** Waits for the disruptions that have not ended. */
  @Override
  public void close() {
    threads.shutdown();
    try {
      threads.awaitTermination(END_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
