package loadbalancer.downstream;

import loadbalancer.http.MessageMemory;
import loadbalancer.net.LoopIterations;
import loadbalancer.telemetry.ClientActivity;

/**
 * What all client connections of a listener share.
 *
 * @param handler accepts the requests
 * @param router selects the requests that the handler gets
 * @param connections the open connections by state
 * @param state the listener's health and shutdown state
 * @param memory memory for requests
 * @param iterations the iterations of the connections' event loop
 * @param activity counts the connections and how they end
 */
record ListenerContext(
    RequestHandler handler,
    RequestRouter router,
    ClientConnections connections,
    ListenerState state,
    MessageMemory memory,
    LoopIterations iterations,
    ClientActivity activity) {}
