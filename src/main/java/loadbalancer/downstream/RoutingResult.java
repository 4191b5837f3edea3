package loadbalancer.downstream;

/** The result of routing a client's request: a request for the handler, or a local reply. */
sealed interface RoutingResult permits DownstreamRequest, LocalReply {}
