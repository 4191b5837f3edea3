package loadbalancer.proxy;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.logging.Logger;
import loadbalancer.config.BalancerConfig;
import loadbalancer.telemetry.BackgroundLogHandler;
import loadbalancer.telemetry.LogValues;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** The {@code serve} subcommand: runs one proxy until SIGTERM. */
public final class ServeCommand {

  private static final Logger LOG = Logger.getLogger(ServeCommand.class.getName());

  /**
   * Each entry is a line of time, level and message, followed by the stack trace of an exception.
   */
  private static final String LOG_FORMAT = "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n";

  private final Map<String, String> environment;
  private final PrintStream err;
  private final CompletableFuture<ProxyServer> listeningServer = new CompletableFuture<>();

  /**
   * Set by whichever comes first, SIGTERM or the start of listening. A process that gets SIGTERM
   * before it listens owes no client a response, and ends at once.
   */
  private final AtomicBoolean isOutcomeDecided = new AtomicBoolean();

  private ServeCommand(Map<String, String> environment, PrintStream err) {
    this.environment = environment;
    this.err = err;
  }

  /**
   * Serves until SIGTERM. SIGHUP reloads the configuration.
   *
   * @param err receives the log, and one line if the start fails
   * @return the process's exit status: 0 after a graceful shutdown, 1 if the start fails
   */
  public static int run(Map<String, String> environment, PrintStream err) {
    System.setProperty("java.util.logging.SimpleFormatter.format", LOG_FORMAT);
    BackgroundLogHandler.install(err);
    return new ServeCommand(environment, err).run();
  }

  private int run() {
    // Shutdown hooks are not used: they would run concurrently with the one that closes the log,
    // and the exit status would be that of the signal. Without a handler SIGHUP would end the
    // process; a SIGHUP that arrives early takes effect once the proxy is listening.
    Signal.handle(new Signal("TERM"), signal -> terminate());
    SignalHandler previous =
        Signal.handle(new Signal("HUP"), signal -> listeningServer.thenAccept(this::reload));
    if (previous == SignalHandler.SIG_IGN) {
      watchConfigurationFile();
    }
    try {
      ProxyServer server = ProxyServer.prepare(ConfigurationFile.read(environment));
      if (!isOutcomeDecided.compareAndSet(false, true)) {
        return 0;
      }
      server.listen();
      listeningServer.complete(server);
    } catch (IOException | RuntimeException e) {
      err.println("start_failed reason=" + LogValues.quote(BalancerConfig.describeProblem(e)));
      return 1;
    }
    listeningServer.join().awaitTermination();
    return 0;
  }

  private void terminate() {
    if (isOutcomeDecided.compareAndSet(false, true)) {
      err.println("terminated_before_listening");
      System.exit(0);
    }
    listeningServer.thenAccept(
        server -> new Thread(server::shutDownGracefully, "shutdown").start());
  }

  private void watchConfigurationFile() {
    String path = environment.get(BalancerConfig.FILE_VARIABLE);
    if (path != null) {
      LOG.warning("sighup_ignored reload=on_file_change");
      Runnable reload = () -> listeningServer.thenAccept(this::reload);
      new ConfigurationFileWatcher(Path.of(path), reload).start();
    }
  }

  private void reload(ProxyServer server) {
    server.reload(() -> ConfigurationFile.read(environment));
  }
}
