package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which metrics are parsed from the headers of a response. */
class LoadReportTest {

  private static HttpHeaders headers(String value) {
    return new DefaultHttpHeaders().set("Endpoint-Load-Metrics", value);
  }

  @Test
  void isEmptyWithoutHeader() {
    assertSame(LoadReport.EMPTY, LoadReport.parse(new DefaultHttpHeaders()));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "JSON {}", "TEXT", "TEXT ", "TEXT ,", "TEXT =1", "TEXT util"})
  void isEmptyWithoutMetrics(String value) {
    assertEquals(LoadReport.EMPTY, LoadReport.parse(headers(value)));
  }

  @Test
  void skipsMalformedValues() {
    LoadReport report =
        LoadReport.parse(headers("TEXT a=1,, b = 2.5 ,c=NaN,d=Infinity,e=f,g=,h=-3,"));
    assertEquals(Map.of("a", 1.0, "b", 2.5, "h", -3.0), report.metrics());
  }
}
