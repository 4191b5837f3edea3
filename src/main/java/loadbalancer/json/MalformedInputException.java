package loadbalancer.json;

/**
 * Input that does not have the form it must have. The message says in one line what is wrong and
 * where; {@link #path}, {@link #expected} and {@link #actual} say the same in parts, where known.
 */
public final class MalformedInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final String path;
  private final String expected;
  private final String actual;

  /** A problem that belongs to no single field. */
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
   * A field whose value is not what it must be.
   *
   * @param path the field's path from the root, such as {@code config.limits.sockets}
   * @param expected what the field must hold, as a noun phrase
   * @param value what it holds; null if it is absent
   */
  public static MalformedInputException mismatch(String path, String expected, Object value) {
    String actual = describe(value);
    String message = "field " + path + ": expected " + expected + ", got " + actual;
    return new MalformedInputException(message, path, expected, actual, null);
  }

  /** A field that must not be there, or whose value has a problem that no type expresses. */
  public static MalformedInputException invalid(String path, String problem) {
    return new MalformedInputException("field " + path + ": " + problem, path, null, null, null);
  }

  /** The same problem, with its place in the input, such as {@code line 2}, before the message. */
  public MalformedInputException withLocation(String place) {
    return new MalformedInputException(place + ": " + getMessage(), path, expected, actual, this);
  }

  private static String describe(Object value) {
    if (value == null) {
      return "nothing";
    }
    return value instanceof String ? "\"" + value + "\"" : value.toString();
  }

  /** The path of the field at fault; null if the problem belongs to no single field. */
  public String path() {
    return path;
  }

  /** What the field must hold; null if the problem is of another kind. */
  public String expected() {
    return expected;
  }

  /** What the field holds, for messages; null if the problem is of another kind. */
  public String actual() {
    return actual;
  }
}
