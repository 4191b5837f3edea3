package loadbalancer.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A JSON object of the simulator's protocol, read independently of the decoder in the main code.
 */
record WireJson(Map<?, ?> values) {

  private static final JsonFactory FACTORY = new JsonFactory();

  static WireJson parse(String text) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      parser.nextToken();
      return new WireJson((Map<?, ?>) value(parser));
    } catch (IOException e) {
      throw new UncheckedIOException(text, e);
    }
  }

  private static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_NUMBER_INT -> parser.getLongValue();
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_STRING -> parser.getText();
      default -> null;
    };
  }

  private static Map<String, Object> object(JsonParser parser) throws IOException {
    Map<String, Object> object = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.put(name, value(parser));
    }
    return object;
  }

  private static List<Object> array(JsonParser parser) throws IOException {
    List<Object> array = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(value(parser));
    }
    return array;
  }

  boolean has(String name) {
    return values.get(name) != null;
  }

  String text(String name) {
    return (String) values.get(name);
  }

  long integer(String name) {
    return has(name) ? ((Number) values.get(name)).longValue() : 0;
  }

  double number(String name) {
    return has(name) ? ((Number) values.get(name)).doubleValue() : 0;
  }

  boolean bool(String name) {
    return has(name) && (Boolean) values.get(name);
  }

  WireJson nested(String name) {
    return new WireJson(has(name) ? (Map<?, ?>) values.get(name) : Map.of());
  }

  List<WireJson> objects(String name) {
    List<WireJson> objects = new ArrayList<>();
    if (has(name)) {
      ((List<?>) values.get(name)).forEach(o -> objects.add(new WireJson((Map<?, ?>) o)));
    }
    return objects;
  }

  /** Returns the name of a message, which is the only key of its object. */
  String messageName() {
    return (String) values.keySet().iterator().next();
  }

  WireJson messageFields() {
    return nested(messageName());
  }

  /**
   * Returns the messages of the only instance in a batch ("msgs") or its actions in a reply
   * ("actions").
   */
  List<WireJson> messages(String list) {
    List<WireJson> messages = new ArrayList<>();
    objects("groups").forEach(group -> messages.addAll(group.objects(list)));
    return messages;
  }
}
