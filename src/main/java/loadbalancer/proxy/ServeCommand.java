package loadbalancer.proxy;

import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import loadbalancer.config.BalancerConfig;
import sun.misc.Signal;

/** Entry point of the real balancer. */
public final class ServeCommand {

  private ServeCommand() {}

  /**
   * Serves until SIGTERM, which ends the process with status 0; returns 1 where it can't start. SIGHUP makes it read its
   * configuration again.
   */
  public static int run(Map<String, String> environment, PrintStream err) {
    System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tFT%1$tT.%1$tL %4$s %5$s%6$s%n");
    CompletableFuture<ProxyServer> started = new CompletableFuture<>();
    // Set by what comes first, the end or the listening: a process that is told to end before it listens owes nobody anything.
    AtomicBoolean decided = new AtomicBoolean();
    // A handler, not a shutdown hook: hooks run beside the one that ends logging, and the status would tell of the signal.
    Signal.handle(new Signal("TERM"), signal -> {
      if (decided.compareAndSet(false, true)) {
        err.println("stopped before it served");
        System.exit(0);
      }
      started.thenAccept(s -> new Thread(s::shutDownGracefully, "stop").start());
    });
    // Without a handler SIGHUP ends the virtual machine. One that comes early is carried out once the balancer serves.
    Signal.handle(new Signal("HUP"), signal -> started.thenAccept(s -> s.reload(() -> BalancerConfig.read(environment))));
    try {
      ProxyServer server = ProxyServer.prepare(BalancerConfig.read(environment));
      if (!decided.compareAndSet(false, true)) {
        return 0;
      }
      server.listen();
      started.complete(server);
    } catch (IOException | RuntimeException e) {
      err.println("can't start: " + BalancerConfig.describeProblem(e));
      return 1;
    }
    started.join().awaitTermination();
    return 0;
  }
}
