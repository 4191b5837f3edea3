package loadbalancer;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.Map;
import loadbalancer.proxy.ServeCommand;
import loadbalancer.simulator.SimulateCommand;

/** Entry point, which runs the subcommand given on the command line. */
public final class Main {

  private static final int USAGE_ERROR_STATUS = 2;

  private Main() {}

  /** Runs the subcommand given by the only argument, and exits with its status. */
  public static void main(String[] args) throws IOException {
    System.exit(run(args, System.getenv(), System.in, System.out, System.err));
  }

  /**
   * Runs a subcommand.
   *
   * @return the exit status: 0 on success, 1 for malformed input or an invalid configuration, 2 for
   *     an invalid command line
   */
  static int run(
      String[] args,
      Map<String, String> environment,
      InputStream in,
      PrintStream out,
      PrintStream err)
      throws IOException {
    return switch (args.length == 1 ? args[0] : "") {
      case "serve" -> ServeCommand.run(environment, err);
      case "drill" -> SimulateCommand.run(in, out, err);
      default -> {
        printUsage(err);
        yield USAGE_ERROR_STATUS;
      }
    };
  }

  private static void printUsage(PrintStream err) {
    err.println("usage: java -jar load-balancer.jar serve|drill");
    err.println(
        "  serve   run one load balancer, configured by the file $ROUTER_CONFIG, until SIGTERM");
    err.println(
        "  drill   read batches of events from standard input, write actions to standard output");
  }
}
