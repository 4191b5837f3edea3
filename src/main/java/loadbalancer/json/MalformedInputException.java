package loadbalancer.json;

/** Malformed input; the message says what was wrong and, once known, on which line. */
public final class MalformedInputException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  public MalformedInputException(String message) {
    super(message);
  }
}
