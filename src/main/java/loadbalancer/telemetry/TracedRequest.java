package loadbalancer.telemetry;

import java.util.List;
import loadbalancer.decision.api.RequestClass;

/** The properties of a request that are logged. Clock readings and durations are in nanoseconds. */
public interface TracedRequest {

  /** Returns the id that the client gave the request. */
  String traceId();

  /** Returns the request's class, which defines its latency objective. */
  RequestClass requestClass();

  /** Returns the clock reading at which the proxy accepted the request. */
  long acceptedAtNanos();

  /**
   * Returns the clock reading at which the client gives up, less the time that a response takes to
   * reach it.
   */
  long deadlineNanos();

  /**
   * Returns how long the request may have waited unread because the event loop lagged, or behind
   * other requests that were pipelined on its connection.
   */
  long unreadNanos();

  /** Returns the number of the client connection on which the request came. */
  long connectionNumber();

  /** Returns whether the client is known to have left, or to have ended its sending. */
  boolean hasClientLeft();

  /** Returns all attempts in the order in which they were started. */
  List<? extends TracedAttempt> attempts();
}
