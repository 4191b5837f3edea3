/**
 * Connections to upstream endpoints and the calls on them.
 *
 * <ul>
 *   <li>{@link loadbalancer.upstream.ConnectionPool} starts and cancels calls and opens
 *       connections;
 *   <li>{@code IdleConnections} owns the idle ones and picks which may be reused, by {@code
 *       IdleReusePolicy} (their age) and {@code SecondResponseGuard} (stray responses);
 *   <li>{@code UpstreamConnection} owns one connection and the call on it;
 *   <li>{@code ResponseStartCheck}, {@code ResponseDecoder}, {@code ResponseFramingCheck} and
 *       {@code ResponseAggregator} are its response pipeline, and {@code ResponseClassifier} maps
 *       the response to an attempt's status;
 *   <li>{@link loadbalancer.upstream.UpstreamCall} is one request that ends exactly once.
 * </ul>
 *
 * <p>All of it is confined to the event loop. Nothing here retries: that is decided elsewhere.
 */
package loadbalancer.upstream;
