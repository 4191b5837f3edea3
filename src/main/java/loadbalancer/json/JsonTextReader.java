package loadbalancer.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads the only value of a JSON text. Objects become maps in the order of the text, arrays become
 * lists, whole numbers {@link Long} and other numbers {@link Double}.
 */
final class JsonTextReader {

  private JsonTextReader() {}

  /**
   * Reads a text that consists of one value.
   *
   * @param name the name of the value in error messages
   * @throws MalformedInputException if the text is not exactly one JSON value, or contains a whole
   *     number that does not fit 64 bits
   */
  static Object read(JsonFactory factory, String name, String text) {
    try (JsonParser parser = factory.createParser(text)) {
      if (parser.nextToken() == null) {
        throw new MalformedInputException("expected a " + name + ", got an empty line");
      }
      Object value = readValue(parser);
      if (parser.nextToken() != null) {
        throw new MalformedInputException("expected one value a line, got more");
      }
      return value;
    } catch (JsonProcessingException e) {
      throw new MalformedInputException("not JSON: " + e.getOriginalMessage());
    } catch (IOException e) {
      // Reading from a string performs no I/O, so this does not happen.
      throw new UncheckedIOException(e);
    }
  }

  /** Reads the value that starts at the parser's current token. */
  private static Object readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readArray(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> readWholeNumber(parser);
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE, VALUE_FALSE -> parser.getBooleanValue();
      default -> null;
    };
  }

  private static Map<String, Object> readObject(JsonParser parser) throws IOException {
    Map<String, Object> object = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.put(name, readValue(parser));
    }
    return object;
  }

  private static List<Object> readArray(JsonParser parser) throws IOException {
    List<Object> array = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(readValue(parser));
    }
    return array;
  }

  private static Long readWholeNumber(JsonParser parser) throws IOException {
    if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      throw new MalformedInputException("number " + parser.getText() + " does not fit 64 bits");
    }
    return parser.getLongValue();
  }
}
