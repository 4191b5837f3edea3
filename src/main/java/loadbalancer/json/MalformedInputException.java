package loadbalancer.json;

/**
 * Thrown for input that does not have the required form. The message says what is wrong and where;
 * {@link #path}, {@link #expected} and {@link #actual} return its parts, where known.
 */
public final class MalformedInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String path;
  private final String expected;
  private final String actual;

  /** Creates an exception for a problem that is not attributed to a field. */
  public MalformedInputException(String problem) {
    this(problem, null, null, null, null);
  }

  private MalformedInputException(
      String message, String path, String expected, String actual, Throwable cause) {
    super(message, cause);
    this.path = path;
    this.expected = expected;
    this.actual = actual;
  }

  /**
   * Returns an exception for a field whose value does not have the required form.
   *
   * @param path the field's path from the root, such as {@code config.limits.sockets}
   * @param expected the required value, as a noun phrase
   * @param value the value found; null if the field is absent
   */
  public static MalformedInputException mismatch(String path, String expected, Object value) {
    String actual = describe(value);
    String message = "field " + path + ": expected " + expected + ", got " + actual;
    return new MalformedInputException(message, path, expected, actual, null);
  }

  /**
   * Returns an exception for a field that is not allowed, or whose value has the required type but
   * is invalid.
   */
  public static MalformedInputException invalid(String path, String problem) {
    return new MalformedInputException("field " + path + ": " + problem, path, null, null, null);
  }

  /**
   * Returns an exception for the same problem whose message starts with a location in the input,
   * such as {@code line 2}.
   */
  public MalformedInputException withLocation(String location) {
    return new MalformedInputException(
        location + ": " + getMessage(), path, expected, actual, this);
  }

  private static String describe(Object value) {
    if (value == null) {
      return "nothing";
    }
    return value instanceof String ? "\"" + value + "\"" : value.toString();
  }

  /** Returns the path of the field at fault; null if the problem is not attributed to a field. */
  public String path() {
    return path;
  }

  /** Returns the required value; null if the problem is not a mismatch. */
  public String expected() {
    return expected;
  }

  /** Returns a description of the value found; null if the problem is not a mismatch. */
  public String actual() {
    return actual;
  }
}
