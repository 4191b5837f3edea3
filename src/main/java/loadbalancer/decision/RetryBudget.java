package loadbalancer.decision;

/** Bounds the load that retries and hedges add. Owns the tokens that pay for them. */
final class RetryBudget {

  private static final double TOKENS_PER_REQUEST = 0.2; // a fifth more load at worst
  private static final double MAX_TOKENS = 20; // saved at most, and at the start

  private double tokens = MAX_TOKENS;

  void earn() {
    tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_REQUEST);
  }

  boolean isExhausted() {
    return tokens < 1;
  }

  void spend() {
    tokens -= 1;
  }
}
