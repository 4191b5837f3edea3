package loadbalancer.decision;

/** Limits the load that retries and hedges add. Owns the tokens that they consume. */
final class RetryBudget {

  private static final double TOKENS_PER_REQUEST = 0.2; // at most 20% more load
  private static final double MAX_TOKENS = 20; // also the initial number

  private double tokens = MAX_TOKENS;

  void deposit() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  boolean isExhausted() {
    return tokens < 1;
  }

  void withdraw() {
    tokens -= 1;
  }
}
