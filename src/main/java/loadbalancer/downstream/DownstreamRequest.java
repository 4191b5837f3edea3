package loadbalancer.downstream;

import io.netty.handler.codec.http.FullHttpRequest;
import loadbalancer.decision.api.RequestClass;

/**
 * A client's request that was received completely and is well formed.
 *
 * @param traceId the client's id; no two requests in flight have the same
 * @param tenant null for none
 * @param affinityKey requests with equal keys share endpoints; null for none
 * @param workHintNanos the work it is expected to cost; 0 for unknown
 * @param retry whether the client says that it repeats an earlier request
 * @param deadlineNanos clock reading at which the client gives up, less the way back to it
 * @param unreadNanos how long it may have lain unread because the event loop lagged, or has waited
 *     for its turn among pipelined requests
 * @param message the request as received; whoever accepts the request releases it
 * @param response where the final response goes
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
    ResponseSink response)
    implements RoutingResult {}
