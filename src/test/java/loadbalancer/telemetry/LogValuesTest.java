package loadbalancer.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LogValuesTest {

  @Test
  void writesPlainWordsAsTheyAre() {
    assertEquals("f3a-9_x.7:1/é", LogValues.quoteIfNeeded("f3a-9_x.7:1/é"));
  }

  /**
   * Clients choose their trace ids, so a trace id must not be able to look like another key or
   * another line.
   */
  @Test
  void quotesTextsThatCouldBreakALine() {
    assertEquals("\"\"", LogValues.quoteIfNeeded(""));
    assertEquals("\"a status=200\"", LogValues.quoteIfNeeded("a status=200"));
    assertEquals("\"a\\\"b\\\\c\"", LogValues.quoteIfNeeded("a\"b\\c"));
    assertEquals("\"a\\u000ab\\u0085c\\u007f\"", LogValues.quoteIfNeeded("a\nb\u0085c\u007f"));
    assertEquals("\"a,status:SUCCESS\"", LogValues.quoteIfNeeded("a,status:SUCCESS"));
  }

  @Test
  void quotesTextsEvenIfTheyArePlainWords() {
    assertEquals("\"silent\"", LogValues.quote("silent"));
  }
}
