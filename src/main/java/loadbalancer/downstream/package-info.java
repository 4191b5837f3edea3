/**
 * The client-facing side: the listener, client connections, request parsing and responses.
 *
 * <p>{@link loadbalancer.downstream.DownstreamListener} accepts connections and sheds them when
 * descriptors run out. Each connection serves one request at a time, parses it into a {@link
 * loadbalancer.downstream.DownstreamRequest} and hands it to a {@link
 * loadbalancer.downstream.RequestHandler}, which responds through a {@link
 * loadbalancer.downstream.ResponseSink}. All state is confined to one event loop.
 */
package loadbalancer.downstream;
