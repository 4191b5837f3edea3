package loadbalancer.simulator;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import loadbalancer.json.JsonFields;
import loadbalancer.json.MalformedInputException;
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

/** Translates the wire's events into the module's. */
final class EventDecoder {

  private static final Map<String, AttemptStatus> STATUS = Map.of("served", AttemptStatus.SUCCESS, "server_error", AttemptStatus.ERROR,
      "turned_away", AttemptStatus.REJECTED, "no_answer", AttemptStatus.TIMEOUT, "no_connection", AttemptStatus.CONNECT_FAILED,
      "connection_lost", AttemptStatus.RESET, "called_off", AttemptStatus.CANCELLED, "not_sent", AttemptStatus.NOT_SENT);
  private static final Map<String, EndpointState> STATE =
      Map.of("up", EndpointState.READY, "draining", EndpointState.DRAINING, "removed", EndpointState.GONE);
  private static final Map<String, UpdateKind> LIST_KIND =
      Map.of("D", UpdateKind.DELTA, "F", UpdateKind.FULL, "C", UpdateKind.CACHED, "X", UpdateKind.FAILED);

  private EventDecoder() {}

  /** An event by its wire name; start and stop of an instance are not among these. */
  static Event event(String name, JsonFields f) {
    return switch (name) {
      case "Topology" -> topology(f);
      case "JobIn" -> new RequestArrived(f.text("rid"), f.text("service"), tenant(f), f.text("object", null),
          f.integer("drop-dead-ns"), f.integer("weight-hint-ns", 0), f.bool("retry", false));
      case "First" -> new ResponseStarted(f.text("rid"), (int) f.integer("go"), f.integer("upstream"),
          f.integer("wait-time-ns"));
      case "Resolved" -> new AttemptEnded(f.text("rid"), (int) f.integer("go"), f.integer("upstream"),
          f.constant("rc", STATUS), f.integer("wait-time-ns"), f.bool("done-flag"), f.numbersOrEmpty("usage"));
      case "Aborted" -> new ClientDisconnected(f.text("rid"));
      case "Fired" -> new TimerFired(f.text("handle"));
      case "HealthResult" -> new HealthCheckResult(f.integer("upstream"), f.constant("rc", STATUS), f.integer("wait-time-ns"),
          f.numbersOrEmpty("usage"));
      case "Datagram" -> new GossipReceived((int) f.integer("neighbour"), bytes(f));
      default -> throw MalformedInputException.invalid(f.path(), "unknown event");
    };
  }

  /** Sites without tenants leave the field out or write 0. */
  private static String tenant(JsonFields f) {
    return f.isZero("user-group") ? null : f.text("user-group", null);
  }

  private static byte[] bytes(JsonFields f) {
    try {
      return Base64.getDecoder().decode(f.text("octets"));
    } catch (IllegalArgumentException e) {
      throw MalformedInputException.invalid(f.pathOf("octets"), "expected base64");
    }
  }

  private static EndpointListUpdate topology(JsonFields f) {
    UpdateKind kind = f.constant("kind", LIST_KIND);
    List<Endpoint> entries = new ArrayList<>();
    if (kind != UpdateKind.FAILED || f.has("entries")) {
      for (JsonFields e : f.objects("entries")) {
        entries.add(new Endpoint(e.integer("upstream"), e.text("region-part", ""), (int) e.integer("pack", 0),
            e.constant("stage-state", STATE), e.integer("launched-ns", 0), e.number("capacity-hint", 1)));
      }
    }
    return new EndpointListUpdate(kind, entries);
  }
}
