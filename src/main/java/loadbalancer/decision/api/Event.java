package loadbalancer.decision.api;

import java.util.List;
import java.util.Map;

/** What happened at a load balancer instance. */
public sealed interface Event {

  /**
   * News of the endpoint list. The first update an engine gets is of kind {@link
   * UpdateKind#CACHED}.
   *
   * @param kind what {@code endpoints} holds
   * @param endpoints empty where the kind is {@link UpdateKind#FAILED}
   */
  record EndpointListUpdate(UpdateKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A request arrived and is owed one final answer.
   *
   * @param requestId unique among the requests in flight
   * @param className the name of one of the settings' classes
   * @param tenant the tenant's name, or null
   * @param affinityKey requests with equal keys go to the same endpoints; null for no preference
   * @param deadlineNanos clock reading by which the final answer is due
   * @param workHintNanos expected work as time on a standard core; 0 where no hint came
   * @param retry whether the client says that it repeats an earlier request
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

  /** A streamed response started: the request is this attempt's, without a deadline. */
  record ResponseStarted(String requestId, int attempt, long endpointId, long latencyNanos)
      implements Event {}

  /**
   * An attempt ended.
   *
   * @param attempt the attempt's index within its request, from 0 in starting order
   * @param latencyNanos time since the attempt was started
   * @param isRequestAnswered whether the request has its final answer; the first success gives it
   *     by itself
   * @param loadReport the endpoint's own figures, empty where none came
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

  /** The client disconnected; no answer is owed any more. */
  record ClientDisconnected(String requestId) implements Event {}

  /** A timer came due; the token is that of its {@link Action.SetTimer}. */
  record TimerFired(String token) implements Event {}

  /** A health check ended; {@code loadReport} is empty where none came. */
  record HealthCheckResult(
      long endpointId, AttemptStatus status, long latencyNanos, Map<String, Double> loadReport)
      implements Event {}

  /** Another instance of the group sent a message. */
  record GossipReceived(int from, byte[] data) implements Event {}
}
