package loadbalancer.decision;

/** A token bucket whose rate and size may differ from one refill to the next. */
final class TokenBucket {

  double tokens;
  long filledAt;

  /** Adds the tokens earned since the last refill and returns the number of tokens. */
  double fill(long now, double perSecond, double maxTokens) {
    tokens = Math.min(maxTokens, tokens + perSecond * (now - filledAt) / 1e9);
    filledAt = now;
    return tokens;
  }
}
