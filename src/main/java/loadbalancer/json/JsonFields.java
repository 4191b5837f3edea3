package loadbalancer.json;

import com.fasterxml.jackson.core.JsonFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A JSON object with checked access to its fields. A field that holds null counts as absent. Every
 * accessor throws a {@link MalformedInputException} with the field's path if the value has another
 * type than requested. Accessors with a default return it for an absent field, but still throw for
 * a value of another type.
 */
public final class JsonFields {

  private final String path;
  private final Map<?, ?> values;

  private JsonFields(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /**
   * Parses a text that consists of one JSON object.
   *
   * @param name the name of the object in error messages, which is the root of the paths
   * @throws MalformedInputException if the text is not exactly one JSON object, or contains a whole
   *     number that does not fit 64 bits
   */
  public static JsonFields parse(JsonFactory factory, String name, String text) {
    return asObject(name, JsonTextReader.read(factory, name, text));
  }

  private static JsonFields asObject(String path, Object value) {
    if (value instanceof Map<?, ?> object) {
      return new JsonFields(path, object);
    }
    throw MalformedInputException.mismatch(path, "an object", value);
  }

  /** Returns this object's path from the root of the text. */
  public String path() {
    return path;
  }

  /** Returns the path of a field of this object. */
  public String pathOf(String name) {
    return path + "." + name;
  }

  private MalformedInputException mismatch(String name, String expected) {
    return MalformedInputException.mismatch(pathOf(name), expected, values.get(name));
  }

  /** Returns whether a field is present and not null. */
  public boolean has(String name) {
    return values.get(name) != null;
  }

  /**
   * Returns the name of the object's only field.
   *
   * @param meaning what the field stands for, used in the error message
   */
  public String onlyFieldName(String meaning) {
    if (values.size() != 1) {
      throw MalformedInputException.invalid(
          path, "expected one " + meaning + ", got " + values.size());
    }
    return (String) values.keySet().iterator().next();
  }

  /** Returns the whole number in a field. */
  public long integer(String name) {
    if (values.get(name) instanceof Long number) {
      return number;
    }
    throw mismatch(name, "a whole number");
  }

  /** Returns the whole number in a field, or the default for an absent field. */
  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  /** Returns whether a field holds the whole number 0. */
  public boolean isZero(String name) {
    return values.get(name) instanceof Long number && number == 0;
  }

  /** Returns the number in a field, whole or not, or the default for an absent field. */
  public double number(String name, double defaultValue) {
    if (!has(name)) {
      return defaultValue;
    }
    if (values.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw mismatch(name, "a number");
  }

  /** Returns the boolean in a field. */
  public boolean bool(String name) {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw mismatch(name, "true or false");
  }

  /** Returns the boolean in a field, or the default for an absent field. */
  public boolean bool(String name, boolean defaultValue) {
    return has(name) ? bool(name) : defaultValue;
  }

  /** Returns the string in a field. */
  public String text(String name) {
    if (values.get(name) instanceof String text) {
      return text;
    }
    throw mismatch(name, "a text");
  }

  /** Returns the string in a field, or the default for an absent field. */
  public String text(String name, String defaultValue) {
    return has(name) ? text(name) : defaultValue;
  }

  /**
   * Returns the constant that the string in a field names.
   *
   * @param constants the constants by their names in the input
   */
  public <T> T constant(String name, Map<String, T> constants) {
    T constant = constants.get(text(name));
    if (constant == null) {
      throw mismatch(name, "one of " + new TreeSet<>(constants.keySet()));
    }
    return constant;
  }

  /** Returns the constant that the string in a field names, or the default for an absent field. */
  public <T> T constant(String name, Map<String, T> constants, T defaultValue) {
    return has(name) ? constant(name, constants) : defaultValue;
  }

  /** Returns the object in a field. */
  public JsonFields object(String name) {
    return asObject(pathOf(name), values.get(name));
  }

  /** Returns the object in a field; an empty one for an absent field. */
  public JsonFields objectOrEmpty(String name) {
    return has(name) ? object(name) : new JsonFields(pathOf(name), Map.of());
  }

  /** Returns the array of objects in a field. */
  public List<JsonFields> objects(String name) {
    List<?> array = array(name);
    List<JsonFields> objects = new ArrayList<>(array.size());
    for (int i = 0; i < array.size(); i++) {
      objects.add(asObject(pathOf(name) + "[" + i + "]", array.get(i)));
    }
    return objects;
  }

  /** Returns the array of objects in a field; an empty list for an absent field. */
  public List<JsonFields> objectsOrEmpty(String name) {
    return has(name) ? objects(name) : List.of();
  }

  /** Returns the array of strings in a field; an empty list for an absent field. */
  public List<String> textsOrEmpty(String name) {
    if (!has(name)) {
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (Object value : array(name)) {
      if (!(value instanceof String text)) {
        throw MalformedInputException.mismatch(pathOf(name), "texts", value);
      }
      texts.add(text);
    }
    return texts;
  }

  private List<?> array(String name) {
    if (values.get(name) instanceof List<?> array) {
      return array;
    }
    throw mismatch(name, "an array");
  }

  /**
   * Returns the numbers of the object in a field by their names, in the order of the object; fields
   * of other types are skipped. Returns an empty map for an absent field.
   */
  public Map<String, Double> numbersOrEmpty(String name) {
    if (!has(name)) {
      return Map.of();
    }
    Map<String, Double> numbers = new LinkedHashMap<>();
    for (Map.Entry<?, ?> field : object(name).values.entrySet()) {
      if (field.getValue() instanceof Number number) {
        numbers.put((String) field.getKey(), number.doubleValue());
      }
    }
    return numbers;
  }
}
