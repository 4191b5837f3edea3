package loadbalancer.downstream;

/** What becomes of a client's request: it is accepted for the handler, or replied to locally. */
sealed interface RoutingResult permits DownstreamRequest, LocalReply {}
