package loadbalancer.telemetry;

/** Formats texts as values of log lines. */
public final class LogValues {

  private static final String HEX_DIGITS = "0123456789abcdef";

  private LogValues() {}

  /**
   * Returns a text {@linkplain #quote quoted} if it is empty or contains a space, a control
   * character, a double quote, a backslash, an equals sign or a comma, and unchanged otherwise.
   */
  public static String quoteIfNeeded(String text) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character <= ' '
          || character == '"'
          || character == '\\'
          || character == '='
          || character == ','
          || isControl(character)) {
        return quote(text);
      }
    }
    return text.isEmpty() ? "\"\"" : text;
  }

  /**
   * Returns a text in double quotes on one line. Quotes and backslashes are escaped by a backslash,
   * control characters as in JSON.
   */
  public static String quote(String text) {
    StringBuilder quoted = new StringBuilder(text.length() + 2).append('"');
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character == '"' || character == '\\') {
        quoted.append('\\').append(character);
      } else if (isControl(character)) {
        quoted
            .append("\\u00")
            .append(HEX_DIGITS.charAt(character >> 4))
            .append(HEX_DIGITS.charAt(character & 15));
      } else {
        quoted.append(character);
      }
    }
    return quoted.append('"').toString();
  }

  /**
   * Returns whether a character is a control character of Latin-1, which could break or disguise a
   * log line.
   */
  private static boolean isControl(char character) {
    return character < ' ' || (character >= 0x7f && character < 0xa0);
  }
}
