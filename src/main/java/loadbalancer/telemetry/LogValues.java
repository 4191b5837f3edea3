package loadbalancer.telemetry;

/** Writes texts as values of log lines. */
public final class LogValues {

  private static final String HEX_DIGITS = "0123456789abcdef";

  private LogValues() {}

  /** A text as it is where it is one plain word, else {@linkplain #quote quoted}. */
  public static String quoteIfNeeded(String text) {
    for (int i = 0; i < text.length(); i++) {
      char next = text.charAt(i);
      if (next <= ' '
          || next == '"'
          || next == '\\'
          || next == '='
          || next == ','
          || isControl(next)) {
        return quote(text);
      }
    }
    return text.isEmpty() ? "\"\"" : text;
  }

  /**
   * A text in double quotes, on one line: quotes and backslashes are escaped, control characters as
   * in JSON.
   */
  public static String quote(String text) {
    StringBuilder quoted = new StringBuilder(text.length() + 2).append('"');
    for (int i = 0; i < text.length(); i++) {
      char next = text.charAt(i);
      if (next == '"' || next == '\\') {
        quoted.append('\\').append(next);
      } else if (isControl(next)) {
        quoted
            .append("\\u00")
            .append(HEX_DIGITS.charAt(next >> 4))
            .append(HEX_DIGITS.charAt(next & 15));
      } else {
        quoted.append(next);
      }
    }
    return quoted.append('"').toString();
  }

  /** Whether a character of the first 256 could break or disguise a line. */
  private static boolean isControl(char next) {
    return next < ' ' || (next >= 0x7f && next < 0xa0);
  }
}
