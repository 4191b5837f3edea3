package loadbalancer.decision;

/** A token bucket whose rate and size may differ from one refill to the next. */
final class TokenBucket {

  double tokens;
  long refilledAt;

  /** Adds the tokens earned since the last refill and returns the number of tokens. */
  double refill(long now, double perSecond, double maxTokens) {
    tokens = Math.min(maxTokens, tokens + perSecond * (now - refilledAt) / 1e9);
    refilledAt = now;
    return tokens;
  }
}
