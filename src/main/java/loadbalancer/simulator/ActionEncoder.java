package loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Base64;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.CheckHealth;
import loadbalancer.decision.api.Action.CloseIdleConnections;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.FetchEndpoints;
import loadbalancer.decision.api.Action.LogMessage;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.SendGossip;
import loadbalancer.decision.api.Action.SetTimer;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;

/**
 * Encodes the decision engine's actions. Each becomes a JSON object whose only field is named after
 * the action.
 */
final class ActionEncoder {

  private ActionEncoder() {}

  /** Writes an action; the order of its fields is part of the protocol. */
  static void write(JsonGenerator out, Action action) throws IOException {
    if (action instanceof StartAttempt start) {
      startAction(out, SimulatorProtocol.START_ATTEMPT);
      out.writeStringField(SimulatorProtocol.REQUEST_ID, start.requestId());
      out.writeNumberField(SimulatorProtocol.TIMEOUT, start.timeoutNanos());
      out.writeNumberField(SimulatorProtocol.ENDPOINT_ID, start.endpointId());
    } else if (action instanceof CancelAttempt cancel) {
      startAction(out, SimulatorProtocol.CANCEL_ATTEMPT);
      out.writeStringField(SimulatorProtocol.REQUEST_ID, cancel.requestId());
      out.writeNumberField(SimulatorProtocol.ATTEMPT, cancel.attempt());
    } else if (action instanceof RejectRequest reject) {
      startAction(out, SimulatorProtocol.REJECT_REQUEST);
      out.writeStringField(SimulatorProtocol.REQUEST_ID, reject.requestId());
      out.writeNumberField(SimulatorProtocol.RETRY_AFTER, reject.retryAfterNanos());
    } else if (action instanceof FailRequest fail) {
      startAction(out, SimulatorProtocol.FAIL_REQUEST);
      out.writeStringField(SimulatorProtocol.REQUEST_ID, fail.requestId());
    } else if (action instanceof SetTimer timer) {
      startAction(out, SimulatorProtocol.SET_TIMER);
      out.writeStringField(SimulatorProtocol.TIMER_TOKEN, timer.token());
      out.writeNumberField(SimulatorProtocol.FIRE_AT, timer.atNanos());
    } else {
      writeNonRequestAction(out, action);
    }
    endAction(out);
  }

  /** Writes an action that belongs to no request. */
  private static void writeNonRequestAction(JsonGenerator out, Action action) throws IOException {
    if (action instanceof WatchEndpoints watch) {
      startAction(out, SimulatorProtocol.WATCH_ENDPOINTS);
      out.writeBooleanField(SimulatorProtocol.ENABLED, watch.enabled());
    } else if (action instanceof FetchEndpoints) {
      startAction(out, SimulatorProtocol.FETCH_ENDPOINTS);
    } else if (action instanceof CheckHealth check) {
      startAction(out, SimulatorProtocol.CHECK_HEALTH);
      out.writeNumberField(SimulatorProtocol.ENDPOINT_ID, check.endpointId());
    } else if (action instanceof CloseIdleConnections close) {
      startAction(out, SimulatorProtocol.CLOSE_IDLE_CONNECTIONS);
      out.writeNumberField(SimulatorProtocol.ENDPOINT_ID, close.endpointId());
    } else if (action instanceof SendGossip gossip) {
      startAction(out, SimulatorProtocol.SEND_GOSSIP);
      out.writeNumberField(SimulatorProtocol.GOSSIP_RECIPIENT, gossip.to());
      String data = Base64.getEncoder().encodeToString(gossip.data());
      out.writeStringField(SimulatorProtocol.GOSSIP_DATA, data);
    } else if (action instanceof LogMessage message) {
      startAction(out, SimulatorProtocol.LOG_MESSAGE);
      out.writeStringField(SimulatorProtocol.TEXT, message.text());
    }
  }

  /** Reports that the decision engine of an instance threw an exception. */
  static void writeFault(JsonGenerator out, RuntimeException exception) throws IOException {
    StackTraceElement[] trace = exception.getStackTrace();
    String location = trace.length == 0 ? "unknown place" : trace[0].toString();
    startAction(out, SimulatorProtocol.FAULT);
    out.writeStringField(
        SimulatorProtocol.TEXT,
        exception.getClass().getName() + ": " + exception.getMessage() + " at " + location);
    endAction(out);
  }

  private static void startAction(JsonGenerator out, String name) throws IOException {
    out.writeStartObject();
    out.writeObjectFieldStart(name);
  }

  private static void endAction(JsonGenerator out) throws IOException {
    out.writeEndObject();
    out.writeEndObject();
  }
}
