/**
 * The proxy process: a request's way from its acceptance to its one final response, and the
 * process's start, reload and graceful shutdown.
 *
 * <p>{@link loadbalancer.proxy.ProxyServer} owns a process's event loop and its start. {@code
 * GracefulShutdown} owns the drain, {@code ConfigurationReloader} the reload, {@code
 * DiscoveryWatch} the retries of the watch on the local agent, {@code WarmUp} the requests that are
 * served before the first client comes. {@code RequestDispatcher} turns what happens on the sockets
 * into events, {@code EventQueue} and {@code EngineRunner} deliver these to the decision engine one
 * at a time, and {@code ActionExecutor} carries out the actions that come of them. {@code
 * InFlightRequests} owns the requests, {@code AttemptRunner} their attempts, {@code
 * RequestCompleter} their final responses. The package itself decides nothing.
 *
 * <p>Except where a class says otherwise, everything here is confined to the event loop. Clock
 * readings and durations are nanoseconds unless a name ends in {@code Millis}.
 */
package loadbalancer.proxy;
