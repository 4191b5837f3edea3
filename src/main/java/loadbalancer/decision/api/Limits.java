package loadbalancer.decision.api;

/**
 * The limits of the deployment and the optional features that it allows.
 *
 * @param cancellation whether attempts may be cancelled
 * @param healthChecks whether health checks may be sent to endpoints
 * @param gossip whether instances may send gossip to one another
 * @param hedging whether a second attempt may be started while the first is in flight
 * @param retryAfter whether a rejection may advise the client to wait before a retry
 * @param maxRetryAfterNanos the longest wait that may be advised, not negative
 * @param maxAttempts the most attempts of one request, including the first; above 0
 * @param maxInFlightRequests the most requests in flight at one instance, above 0
 * @param streamsPerConnection the most concurrent requests on one connection
 * @param connectTimeoutNanos time after which an attempt to connect fails
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
