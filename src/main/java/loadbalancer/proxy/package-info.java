/**
 * The proxy process: the handling of requests from their acceptance to their single final response,
 * and the process's start, reload and graceful shutdown.
 *
 * <p>{@link loadbalancer.proxy.ProxyServer} owns the process's event loop and starts the process.
 * {@code GracefulShutdown} drains it, {@code ConfigurationReloader} reloads the configuration,
 * {@code DiscoveryWatch} retries the watch on the local agent, and {@code WarmUp} serves synthetic
 * requests before the first client connects. {@code RequestDispatcher} turns what happens on the
 * sockets into events, {@code EventQueue} and {@code EngineRunner} deliver these to the decision
 * engine one at a time, and {@code ActionExecutor} carries out the resulting actions. {@code
 * InFlightRequests} holds the requests, {@code AttemptRunner} runs their attempts, and {@code
 * RequestCompleter} sends their final responses. The package itself makes no decisions.
 *
 * <p>Unless a class states otherwise, everything here is confined to the event loop. Clock readings
 * and durations are in nanoseconds unless a name ends in {@code Millis}.
 */
package loadbalancer.proxy;
