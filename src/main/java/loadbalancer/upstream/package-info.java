/**
 * Connections to upstream endpoints and the calls on them.
 *
 * <ul>
 *   <li>{@link loadbalancer.upstream.ConnectionPool} starts and cancels calls and opens
 *       connections.
 *   <li>{@code IdleConnections} owns the idle connections and selects the reusable ones with {@code
 *       IdleReusePolicy}, which learns after which idle times reused connections still work, and
 *       {@code SecondResponseGuard}, which imposes a quiet period after each response.
 *   <li>{@code UpstreamConnection} owns one connection and the call on it.
 *   <li>{@link loadbalancer.upstream.UpstreamChannel} is the TCP connection and can be checked for
 *       unread data.
 *   <li>{@code ResponseStartCheck}, {@code ResponseDecoder}, {@code ResponseFramingCheck} and
 *       {@code ResponseAggregator} handle a response before {@code UpstreamConnection}, and {@code
 *       ResponseClassifier} maps it to an attempt status.
 *   <li>{@link loadbalancer.upstream.LoadReport} holds the load metrics in a response header.
 *   <li>{@link loadbalancer.upstream.UpstreamCall} is one request, which completes exactly once.
 * </ul>
 *
 * <p>All stateful classes are confined to the event loop. Requests are never retried here; only
 * connecting is, after a failure on this machine.
 */
package loadbalancer.upstream;
