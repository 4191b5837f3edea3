package loadbalancer.decision.api;

/**
 * What the deployment allows.
 *
 * @param cancellation whether an attempt may be cancelled
 * @param healthChecks whether endpoints may be checked
 * @param gossip whether instances may send messages to one another
 * @param hedging whether a second attempt may be started while the first is in flight
 * @param retryAfter whether a rejection may advise a wait
 * @param maxRetryAfterNanos the longest wait that may be advised, not negative
 * @param maxAttempts attempts of one request, the first included; above 0
 * @param maxInFlightRequests requests that one instance holds at a time, above 0
 * @param streamsPerConnection requests that share a connection at a time
 * @param connectTimeoutNanos time after which an attempt to connect has failed
 */
public record Limits(
    boolean cancellation,
    boolean healthChecks,
    boolean gossip,
    boolean hedging,
    boolean retryAfter,
    long maxRetryAfterNanos,
    int maxAttempts,
    int maxInFlightRequests,
    int streamsPerConnection,
    long connectTimeoutNanos) {}
