package loadbalancer.telemetry;

import java.util.List;
import loadbalancer.decision.api.RequestClass;

/** What the log says of a request. Clock readings and durations are nanoseconds. */
public interface TracedRequest {

  /** The client's id of the request. */
  String traceId();

  /** The request's class, which states its latency objective. */
  RequestClass requestClass();

  /** Clock reading at which the proxy accepted the request. */
  long acceptedAtNanos();

  /** Clock reading at which the client gives up, less the way back to it. */
  long deadlineNanos();

  /** How long it may have lain unread because the event loop lagged. */
  long unreadNanos();

  /** All attempts in starting order. */
  List<? extends TracedAttempt> attempts();
}
