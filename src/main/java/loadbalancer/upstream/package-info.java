/**
 * Connections to upstream endpoints and the calls on them.
 *
 * <ul>
 *   <li>{@link loadbalancer.upstream.ConnectionPool} starts and cancels calls and opens
 *       connections.
 *   <li>{@code IdleConnections} owns the idle connections and selects the reusable ones with {@code
 *       IdleReusePolicy}, which limits the idle time, and {@code SecondResponseGuard}, which
 *       imposes a quiet period after each response.
 *   <li>{@code UpstreamConnection} owns one connection and the call on it.
 *   <li>{@code ResponseStartCheck}, {@code ResponseDecoder}, {@code ResponseFramingCheck} and
 *       {@code ResponseAggregator} are its response pipeline, and {@code ResponseClassifier} maps
 *       the response to an attempt status.
 *   <li>{@link loadbalancer.upstream.UpstreamCall} is one request, which completes exactly once.
 * </ul>
 *
 * <p>All classes are confined to the event loop. Requests are never retried here; only connecting
 * is, after a failure on this machine.
 */
package loadbalancer.upstream;
