package loadbalancer.decision;

/** A token bucket; its rate and size may differ from one filling to the next. */
final class TokenBucket {

  double tokens;
  long filledAt;

  double fill(long now, double perSecond, double maxTokens) {
    tokens = Math.min(maxTokens, tokens + perSecond * (now - filledAt) / 1e9);
    filledAt = now;
    return tokens;
  }
}
