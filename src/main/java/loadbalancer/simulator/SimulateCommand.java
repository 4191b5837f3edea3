package loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import loadbalancer.json.MalformedInputException;

/** The subcommand that runs decision engines for the simulator. */
public final class SimulateCommand {

  private static final int SUCCESS = 0;
  private static final int MALFORMED_INPUT = 1;

  private SimulateCommand() {}

  /**
   * Replies to batches until the input ends.
   *
   * @return the exit status: 0 at the end of the input, 1 for malformed input, which is described
   *     on {@code err}
   */
  public static int run(InputStream in, PrintStream out, PrintStream err) throws IOException {
    try {
      new SimulatorAdapter(in, out).run();
      return SUCCESS;
    } catch (MalformedInputException e) {
      err.println(e.getMessage());
      return MALFORMED_INPUT;
    }
  }
}
