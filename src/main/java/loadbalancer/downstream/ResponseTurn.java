package loadbalancer.downstream;

import loadbalancer.net.LoopIterations;

/**
 * The turn of one connection to have requests answered. It is over after a few responses within an
 * iteration of the event loop, so that a client that sends without end does not keep the loop from
 * the others. Confined to the event loop.
 */
final class ResponseTurn {

  /** Number of responses on a connection in a row, after which others get their turn. */
  private static final int MAX_RESPONSES = 4;

  private final LoopIterations iterations;
  private long iteration;
  private int responses;

  ResponseTurn(LoopIterations iterations) {
    this.iterations = iterations;
  }

  /** Counts a response, and returns whether the turn is over. */
  boolean isOverAfterResponse() {
    if (iteration != iterations.current()) {
      iteration = iterations.current();
      responses = 0;
    }
    responses++;
    return responses >= MAX_RESPONSES;
  }

  /** Runs a task in the next turn. */
  void runInNext(Runnable task) {
    iterations.runInNext(
        () -> {
          responses = 0;
          task.run();
        });
  }
}
