package loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.config.SettingsDecoder;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Event;
import loadbalancer.json.JsonFields;
import loadbalancer.json.MalformedInputException;

/**
 * Connects decision engines to the simulator. Each line of the input is a batch of messages to some
 * instances, and the reply to it is one line with the actions of these instances. Owns the decision
 * engines, one for each instance that has been started and not ended.
 */
final class SimulatorAdapter {

  /** The buffer size in bytes, into which most batches and replies fit. */
  private static final int BUFFER_SIZE = 1 << 16;

  private final JsonFactory json = new JsonFactory();
  private final BufferedReader in;
  private final OutputStream out;
  private final Map<Long, DecisionEngine> engines = new HashMap<>();

  SimulatorAdapter(InputStream in, OutputStream out) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_SIZE);
    this.out = out;
  }

  /**
   * Replies to batches until the input ends.
   *
   * @throws MalformedInputException at the first batch that is malformed, naming its line
   */
  void run() throws IOException {
    long line = 0;
    ByteArrayOutputStream reply = new ByteArrayOutputStream(BUFFER_SIZE);
    for (String text = in.readLine(); text != null; text = in.readLine()) {
      line++;
      reply.reset();
      writeReply(line, text, reply);
      reply.write('\n');
      reply.writeTo(out);
      out.flush();
    }
  }

  private void writeReply(long line, String text, OutputStream reply) throws IOException {
    String location = "line " + line;
    try (JsonGenerator generator = json.createGenerator(reply)) {
      handleBatch(JsonFields.parse(json, "batch", text), generator);
    } catch (MalformedInputException e) {
      throw e.withLocation(location);
    } catch (IllegalArgumentException e) {
      // A value of the settings is out of its range.
      throw new MalformedInputException(location + ": " + e.getMessage());
    }
  }

  private void handleBatch(JsonFields batch, JsonGenerator generator) throws IOException {
    long nowNanos = batch.integer(SimulatorProtocol.CLOCK);
    generator.writeStartObject();
    generator.writeArrayFieldStart(SimulatorProtocol.GROUPS);
    for (JsonFields group : batch.objects(SimulatorProtocol.GROUPS)) {
      handleGroup(nowNanos, group, generator);
    }
    generator.writeEndArray();
    generator.writeEndObject();
  }

  private void handleGroup(long nowNanos, JsonFields group, JsonGenerator generator)
      throws IOException {
    long instanceId = group.integer(SimulatorProtocol.BALANCER);
    generator.writeStartObject();
    generator.writeNumberField(SimulatorProtocol.BALANCER, instanceId);
    generator.writeArrayFieldStart(SimulatorProtocol.ACTIONS);
    for (JsonFields message : group.objects(SimulatorProtocol.MESSAGES)) {
      handleMessage(nowNanos, instanceId, message, generator);
    }
    generator.writeEndArray();
    generator.writeEndObject();
  }

  private void handleMessage(
      long nowNanos, long instanceId, JsonFields message, JsonGenerator generator)
      throws IOException {
    String name = message.onlyFieldName("event");
    JsonFields fields = message.object(name);
    if (name.equals(SimulatorProtocol.PROVISION)) {
      engines.put(instanceId, newEngine(fields));
      return;
    }
    DecisionEngine engine = engines.get(instanceId);
    if (engine == null) {
      throw MalformedInputException.invalid(
          fields.path(), "balancer " + instanceId + " was never provisioned");
    }
    if (name.equals(SimulatorProtocol.KILL)) {
      engines.remove(instanceId);
      return;
    }
    Event event = EventDecoder.decode(name, fields);
    try {
      engine.handle(nowNanos, event, action -> write(generator, action));
    } catch (RuntimeException e) {
      ActionEncoder.writeFault(generator, e);
    }
  }

  private static DecisionEngine newEngine(JsonFields provision) {
    JsonFields settings = provision.object(SimulatorProtocol.SETTINGS);
    return new LoadBalancingEngine(
        SettingsDecoder.decode(settings), provision.integer(SimulatorProtocol.SEED));
  }

  private static void write(JsonGenerator generator, Action action) {
    try {
      ActionEncoder.write(generator, action);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
