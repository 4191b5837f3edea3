package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.GossipReceived;
import loadbalancer.decision.api.Event.HealthCheckResult;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.Event.ResponseStarted;
import loadbalancer.decision.api.Event.TimerFired;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.json.JsonFields;
import loadbalancer.json.MalformedInputException;

/** Decodes the simulator's messages into events of the decision engine. */
final class EventDecoder {

  private static final Map<String, AttemptStatus> ATTEMPT_STATUSES =
      Map.of(
          "served", AttemptStatus.SUCCESS,
          "server_error", AttemptStatus.ERROR,
          "turned_away", AttemptStatus.REJECTED,
          "no_answer", AttemptStatus.TIMEOUT,
          "no_connection", AttemptStatus.CONNECT_FAILED,
          "connection_lost", AttemptStatus.RESET,
          "called_off", AttemptStatus.CANCELLED,
          "not_sent", AttemptStatus.NOT_SENT);
  private static final Map<String, EndpointState> ENDPOINT_STATES =
      Map.of(
          "up", EndpointState.READY,
          "draining", EndpointState.DRAINING,
          "removed", EndpointState.GONE);
  private static final Map<String, UpdateKind> UPDATE_KINDS =
      Map.of(
          "D", UpdateKind.DELTA,
          "F", UpdateKind.FULL,
          "C", UpdateKind.CACHED,
          "X", UpdateKind.FAILED);

  private EventDecoder() {}

  /**
   * Decodes an event.
   *
   * @param name the message's name; messages that start or end an instance are not events
   * @throws MalformedInputException if the event is unknown, a required field is absent or a value
   *     is invalid
   */
  static Event decode(String name, JsonFields fields) {
    return switch (name) {
      case SimulatorProtocol.ENDPOINT_LIST_UPDATE -> endpointListUpdate(fields);
      case SimulatorProtocol.REQUEST_ARRIVED -> requestArrived(fields);
      case SimulatorProtocol.RESPONSE_STARTED -> responseStarted(fields);
      case SimulatorProtocol.ATTEMPT_ENDED -> attemptEnded(fields);
      case SimulatorProtocol.CLIENT_DISCONNECTED ->
          new ClientDisconnected(fields.text(SimulatorProtocol.REQUEST_ID));
      case SimulatorProtocol.TIMER_FIRED ->
          new TimerFired(fields.text(SimulatorProtocol.TIMER_TOKEN));
      case SimulatorProtocol.HEALTH_CHECK_RESULT -> healthCheckResult(fields);
      case SimulatorProtocol.GOSSIP_RECEIVED ->
          new GossipReceived(
              (int) fields.integer(SimulatorProtocol.GOSSIP_SENDER), gossipData(fields));
      default -> throw MalformedInputException.invalid(fields.path(), "unknown event");
    };
  }

  private static RequestArrived requestArrived(JsonFields fields) {
    return new RequestArrived(
        fields.text(SimulatorProtocol.REQUEST_ID),
        fields.text(SimulatorProtocol.CLASS_NAME),
        tenant(fields),
        fields.text(SimulatorProtocol.AFFINITY_KEY, null),
        fields.integer(SimulatorProtocol.DEADLINE),
        fields.integer(SimulatorProtocol.WORK_HINT, 0),
        fields.bool(SimulatorProtocol.RETRY, false));
  }

  /**
   * Returns the name of the tenant, or null: deployments without tenants omit the field or set it
   * to 0.
   */
  private static String tenant(JsonFields fields) {
    return fields.isZero(SimulatorProtocol.TENANT)
        ? null
        : fields.text(SimulatorProtocol.TENANT, null);
  }

  private static ResponseStarted responseStarted(JsonFields fields) {
    return new ResponseStarted(
        fields.text(SimulatorProtocol.REQUEST_ID),
        (int) fields.integer(SimulatorProtocol.ATTEMPT),
        fields.integer(SimulatorProtocol.ENDPOINT_ID),
        fields.integer(SimulatorProtocol.LATENCY));
  }

  private static AttemptEnded attemptEnded(JsonFields fields) {
    return new AttemptEnded(
        fields.text(SimulatorProtocol.REQUEST_ID),
        (int) fields.integer(SimulatorProtocol.ATTEMPT),
        fields.integer(SimulatorProtocol.ENDPOINT_ID),
        fields.constant(SimulatorProtocol.STATUS, ATTEMPT_STATUSES),
        fields.integer(SimulatorProtocol.LATENCY),
        fields.bool(SimulatorProtocol.FINISHED),
        fields.numbersOrEmpty(SimulatorProtocol.LOAD_REPORT));
  }

  private static HealthCheckResult healthCheckResult(JsonFields fields) {
    return new HealthCheckResult(
        fields.integer(SimulatorProtocol.ENDPOINT_ID),
        fields.constant(SimulatorProtocol.STATUS, ATTEMPT_STATUSES),
        fields.integer(SimulatorProtocol.LATENCY),
        fields.numbersOrEmpty(SimulatorProtocol.LOAD_REPORT));
  }

  private static byte[] gossipData(JsonFields fields) {
    try {
      return Base64.getDecoder().decode(fields.text(SimulatorProtocol.GOSSIP_DATA));
    } catch (IllegalArgumentException e) {
      throw MalformedInputException.invalid(
          fields.pathOf(SimulatorProtocol.GOSSIP_DATA), "expected base64");
    }
  }

  /** Decodes an update of the endpoint list; a failed one may omit the endpoints. */
  private static EndpointListUpdate endpointListUpdate(JsonFields fields) {
    UpdateKind kind = fields.constant(SimulatorProtocol.UPDATE_KIND, UPDATE_KINDS);
    List<Endpoint> endpoints = new ArrayList<>();
    if (kind != UpdateKind.FAILED || fields.has(SimulatorProtocol.ENDPOINTS)) {
      for (JsonFields entry : fields.objects(SimulatorProtocol.ENDPOINTS)) {
        endpoints.add(endpoint(entry));
      }
    }
    return new EndpointListUpdate(kind, endpoints);
  }

  private static Endpoint endpoint(JsonFields entry) {
    return new Endpoint(
        entry.integer(SimulatorProtocol.ENDPOINT_ID),
        entry.text(SimulatorProtocol.ZONE, ""),
        (int) entry.integer(SimulatorProtocol.CELL, 0),
        entry.constant(SimulatorProtocol.STATE, ENDPOINT_STATES),
        entry.integer(SimulatorProtocol.STARTED, 0),
        entry.number(SimulatorProtocol.WEIGHT, 1));
  }
}
