package loadbalancer.json;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Checks that values are read with their type, and that errors name the path, the required form and
 * the value found.
 */
class JsonFieldsTest {

  private static JsonFields parse(String text) {
    return JsonFields.parse(new JsonFactory(), "root", text);
  }

  private static void assertMismatch(
      Consumer<JsonFields> access, String path, String expected, String actual) {
    JsonFields fields =
        parse("{\"in\":{\"text\":\"t\",\"n\":1.5,\"flag\":true,\"list\":[{},7]}}").object("in");
    MalformedInputException exception =
        assertThrows(MalformedInputException.class, () -> access.accept(fields));
    assertEquals(path, exception.path());
    assertEquals(expected, exception.expected());
    assertEquals(actual, exception.actual());
    assertEquals(
        "field " + path + ": expected " + expected + ", got " + actual, exception.getMessage());
  }

  @Test
  void wrongTypesAreReportedWithPathExpectationAndValue() {
    assertMismatch(f -> f.integer("n"), "root.in.n", "a whole number", "1.5");
    assertMismatch(f -> f.integer("text", 0), "root.in.text", "a whole number", "\"t\"");
    assertMismatch(f -> f.number("flag", 0), "root.in.flag", "a number", "true");
    assertMismatch(f -> f.bool("text"), "root.in.text", "true or false", "\"t\"");
    assertMismatch(f -> f.text("n"), "root.in.n", "a text", "1.5");
    assertMismatch(f -> f.objectOrEmpty("text"), "root.in.text", "an object", "\"t\"");
    assertMismatch(f -> f.objects("list"), "root.in.list[1]", "an object", "7");
    assertMismatch(f -> f.textsOrEmpty("list"), "root.in.list", "texts", "{}");
    assertMismatch(
        f -> f.constant("text", Map.of("b", 1, "a", 2)), "root.in.text", "one of [a, b]", "\"t\"");
  }

  @Test
  void absentFieldsAreReportedAsNothing() {
    assertMismatch(f -> f.integer("absent"), "root.in.absent", "a whole number", "nothing");
    assertMismatch(f -> f.object("absent"), "root.in.absent", "an object", "nothing");
    assertMismatch(f -> f.objects("absent"), "root.in.absent", "an array", "nothing");
  }

  @Test
  void absentAndNullFieldsGetTheirDefaults() {
    JsonFields fields = parse("{\"null\":null}");
    for (String name : List.of("null", "absent")) {
      assertFalse(fields.has(name));
      assertEquals(7, fields.integer(name, 7));
      assertEquals(1.5, fields.number(name, 1.5));
      assertTrue(fields.bool(name, true));
      assertNull(fields.text(name, null));
      assertEquals("b", fields.constant(name, Map.of("a", "a"), "b"));
      assertFalse(fields.objectOrEmpty(name).has("any"));
      assertEquals(List.of(), fields.objectsOrEmpty(name));
      assertEquals(List.of(), fields.textsOrEmpty(name));
      assertEquals(Map.of(), fields.numbersOrEmpty(name));
    }
  }

  @Test
  void numbersSkipFieldsOfOtherTypes() {
    JsonFields fields = parse("{\"load\":{\"a\":1,\"b\":\"x\",\"c\":0.5,\"d\":null}}");
    assertEquals(Map.of("a", 1.0, "c", 0.5), fields.numbersOrEmpty("load"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "'' | expected a root, got an empty line",
        "{} {} | expected one value a line, got more",
        "[] | field root: expected an object, got []",
        "{ | not JSON: ",
        "{\"n\":123456789012345678901} | number 123456789012345678901 does not fit 64 bits"
      })
  void textsThatAreNotOneObjectAreRejected(String text, String message) {
    MalformedInputException exception =
        assertThrows(MalformedInputException.class, () -> parse(text));
    assertTrue(exception.getMessage().startsWith(message), exception.getMessage());
    assertEquals(1, exception.getMessage().lines().count());
  }

  @Test
  void locationPrecedesTheMessage() {
    MalformedInputException exception =
        MalformedInputException.mismatch("root.a", "a text", 7L).withLocation("line 3");
    assertEquals("line 3: field root.a: expected a text, got 7", exception.getMessage());
    assertEquals("root.a", exception.path());
  }
}
