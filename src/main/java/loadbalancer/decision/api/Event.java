package loadbalancer.decision.api;

import java.util.List;
import java.util.Map;

/** Something that happened at a load balancer instance. */
public sealed interface Event {

  /**
   * The endpoint list was updated. The first update that an engine gets is of kind {@link
   * UpdateKind#CACHED}.
   *
   * @param kind what {@code endpoints} contains
   * @param endpoints the entries; empty if the kind is {@link UpdateKind#FAILED}
   */
  record EndpointListUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A request arrived, which must get exactly one final answer.
   *
   * @param requestId the request's id, unique among the requests in flight
   * @param className the name of one of the settings' classes
   * @param tenant the tenant's name, or null
   * @param affinityKey requests with equal keys prefer the same endpoints; null for no preference
   * @param deadlineNanos clock reading by which the final answer is due
   * @param workHintNanos the expected work, as time on a standard core; 0 without a hint
   * @param retry whether the client states that it repeats an earlier request
   */
  record RequestArrived(
      String requestId,
      String className,
      String tenant,
      String affinityKey,
      long deadlineNanos,
      long workHintNanos,
      boolean retry)
      implements Event {}

  /** A streamed response started. The request stays with this attempt and loses its deadline. */
  record ResponseStarted(String requestId, int attempt, long endpointId, long latencyNanos)
      implements Event {}

  /**
   * An attempt ended.
   *
   * @param attempt the attempt's index within its request, from 0 in starting order
   * @param latencyNanos time from the start of the attempt to its end
   * @param isRequestAnswered whether the request has its final answer; its first successful attempt
   *     is that answer without an action of the engine
   * @param loadReport the endpoint's load report; empty without one
   */
  record AttemptEnded(
      String requestId,
      int attempt,
      long endpointId,
      AttemptStatus status,
      long latencyNanos,
      boolean isRequestAnswered,
      Map<String, Double> loadReport)
      implements Event {}

  /** The client disconnected; its request gets no answer any more. */
  record ClientDisconnected(String requestId) implements Event {}

  /** A timer expired; the token is that of its {@link Action.SetTimer}. */
  record TimerFired(String token) implements Event {}

  /** A health check ended; {@code loadReport} is empty without a load report. */
  record HealthCheckResult(
      long endpointId, AttemptStatus status, long latencyNanos, Map<String, Double> loadReport)
      implements Event {}

  /** Another instance of the group sent a message. */
  record GossipReceived(int from, byte[] data) implements Event {}
}
