package loadbalancer.json;

import com.fasterxml.jackson.core.JsonFactory;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * A JSON object with checked access to its fields. A field that holds null counts as absent. Every
 * accessor throws a {@link MalformedInputException} that carries the field's path if the value is
 * not of its type; those with a default throw for a wrong value, too, but not for an absent one.
 */
public final class JsonFields {

  private final String path;
  private final Map<?, ?> values;

  private JsonFields(String path, Map<?, ?> values) {
    this.path = path;
    this.values = values;
  }

  /**
   * Parses a text that consists of one object.
   *
   * @param name what error messages call the object; it is the root of the paths
   * @throws MalformedInputException if the text is not one JSON object
   */
  public static JsonFields parse(JsonFactory factory, String name, String text) {
    return cast(name, JsonTextReader.read(factory, name, text));
  }

  private static JsonFields cast(String path, Object value) {
    if (value instanceof Map<?, ?> object) {
      return new JsonFields(path, object);
    }
    throw MalformedInputException.mismatch(path, "an object", value);
  }

  /** This object's path from the root of the text. */
  public String path() {
    return path;
  }

  /** The path of one of its fields. */
  public String pathOf(String name) {
    return path + "." + name;
  }

  private MalformedInputException mismatch(String name, String expected) {
    return MalformedInputException.mismatch(pathOf(name), expected, values.get(name));
  }

  /** Whether a field is there and not null. */
  public boolean has(String name) {
    return values.get(name) != null;
  }

  /**
   * The name of the object's only field.
   *
   * @param meaning what the field stands for, for the error message
   */
  public String onlyFieldName(String meaning) {
    if (values.size() != 1) {
      throw MalformedInputException.invalid(
          path, "expected one " + meaning + ", got " + values.size());
    }
    return (String) values.keySet().iterator().next();
  }

  /** A whole number. */
  public long integer(String name) {
    if (values.get(name) instanceof Long number) {
      return number;
    }
    throw mismatch(name, "a whole number");
  }

  /** A whole number, or a default. */
  public long integer(String name, long defaultValue) {
    return has(name) ? integer(name) : defaultValue;
  }

  /** Whether a field is the whole number 0. */
  public boolean isZero(String name) {
    return values.get(name) instanceof Long number && number == 0;
  }

  /** A number, whole or not, or a default. */
  public double number(String name, double defaultValue) {
    if (!has(name)) {
      return defaultValue;
    }
    if (values.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw mismatch(name, "a number");
  }

  /** A truth value. */
  public boolean bool(String name) {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw mismatch(name, "true or false");
  }

  /** A truth value, or a default. */
  public boolean bool(String name, boolean defaultValue) {
    return has(name) ? bool(name) : defaultValue;
  }

  /** A string. */
  public String text(String name) {
    if (values.get(name) instanceof String text) {
      return text;
    }
    throw mismatch(name, "a text");
  }

  /** A string, or a default. */
  public String text(String name, String defaultValue) {
    return has(name) ? text(name) : defaultValue;
  }

  /**
   * The constant that a string names.
   *
   * @param constants the constants by the names that the input may use
   */
  public <T> T constant(String name, Map<String, T> constants) {
    T constant = constants.get(text(name));
    if (constant == null) {
      throw mismatch(name, "one of " + new TreeSet<>(constants.keySet()));
    }
    return constant;
  }

  /** The constant that a string names, or a default. */
  public <T> T constant(String name, Map<String, T> constants, T defaultValue) {
    return has(name) ? constant(name, constants) : defaultValue;
  }

  /** An object. */
  public JsonFields object(String name) {
    return cast(pathOf(name), values.get(name));
  }

  /** An object, or an empty one where the field is absent. */
  public JsonFields objectOrEmpty(String name) {
    return has(name) ? object(name) : new JsonFields(pathOf(name), Map.of());
  }

  /** An array of objects. */
  public List<JsonFields> objects(String name) {
    List<?> array = array(name);
    List<JsonFields> objects = new ArrayList<>(array.size());
    for (int i = 0; i < array.size(); i++) {
      objects.add(cast(pathOf(name) + "[" + i + "]", array.get(i)));
    }
    return objects;
  }

  /** An array of objects, or an empty list where the field is absent. */
  public List<JsonFields> objectsOrEmpty(String name) {
    return has(name) ? objects(name) : List.of();
  }

  /** An array of strings, or an empty list where the field is absent. */
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
   * The numbers of an object by their names, in its order; fields of other types are left out. An
   * empty map where the object is absent.
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
