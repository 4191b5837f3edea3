package loadbalancer.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.decision.api.RequestClass;

/**
 * A well-formed request that has been received completely from a client.
 *
 * @param traceId the id that the client has given the request, unique among the requests in flight
 * @param tenant name of the tenant; null for none
 * @param affinityKey key of session affinity: requests with equal keys share endpoints; null for
 *     none
 * @param workHintNanos the expected cost of the request; 0 if unknown
 * @param retry true if the client states that it repeats an earlier request
 * @param deadlineNanos clock reading at which the client stops waiting, less an allowance for the
 *     network
 * @param unreadNanos longest time that the request may have waited before it was parsed: unread
 *     because the event loop lagged or accepting failed, or queued behind other pipelined requests
 * @param message the request as received, which the handler that accepts it releases
 * @param responseSink receives the final response
 */
public record DownstreamRequest(
    String traceId,
    RequestClass requestClass,
    String tenant,
    String affinityKey,
    long workHintNanos,
    boolean retry,
    long deadlineNanos,
    long unreadNanos,
    FullHttpRequest message,
    ResponseSink responseSink)
    implements RoutingResult {}
