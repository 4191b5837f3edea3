package loadbalancer.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LogValuesTest {

  @Test
  void writesPlainWordsAsTheyAre() {
    assertEquals("f3a-9_x.7:1/é", LogValues.value("f3a-9_x.7:1/é"));
  }

  /** A client chooses its trace ids: none may look like another key, or like another line. */
  @Test
  void quotesWhatCouldBreakALine() {
    assertEquals("\"\"", LogValues.value(""));
    assertEquals("\"a status=200\"", LogValues.value("a status=200"));
    assertEquals("\"a\\\"b\\\\c\"", LogValues.value("a\"b\\c"));
    assertEquals("\"a\\u000ab\\u0085c\\u007f\"", LogValues.value("a\nb\u0085c\u007f"));
    assertEquals("\"a,status:SUCCESS\"", LogValues.value("a,status:SUCCESS"));
  }

  @Test
  void quotesTextsEvenIfTheyArePlainWords() {
    assertEquals("\"silent\"", LogValues.quote("silent"));
  }
}
