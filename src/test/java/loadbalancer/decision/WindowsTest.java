package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.idempotentOnly;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.decision.SlidingWindow.Metric;
import loadbalancer.decision.api.AttemptStatus;
import org.junit.jupiter.api.Test;

/** Sliding windows, and how many of them are kept. */
class WindowsTest {

  @Test
  void countsWithinTheWindowAndForgetsWhatIsOlder() {
    SlidingWindow window = new SlidingWindow(1200, 0);
    assertEquals(0, window.mean(0), "an empty window is healthy");
    window.add(0, Metric.ADMITTED, 1);
    window.add(150, Metric.SAMPLES, 1);
    window.add(150, Metric.LATENCY_SUM, 6);
    window.add(650, Metric.SAMPLES, 1);
    window.add(650, Metric.LATENCY_SUM, 2);
    assertEquals(1, window.total(1199, Metric.ADMITTED));
    assertEquals(0, window.total(1200, Metric.ADMITTED));
    assertEquals(4, window.mean(1250), 1e-9);
    assertEquals(2, window.mean(1300), 1e-9);
    assertEquals(0, window.mean(90_000), 1e-9);
  }

  /** Keys are ever new on long days: without it the memory would grow. */
  @Test
  void forgetsKeysThatAreIdleForAWindow() {
    EngineDriver driver = new EngineDriver(idempotentOnly()).withEndpoints(3);
    for (int i = 0; i < 2000; i++) {
      driver.request(driver.nextRequestId(), "c", "k" + i);
      driver.completeFor(10 * MS, AttemptStatus.SUCCESS, 10 * MS);
    }
    int kept = driver.engine.lifecycle.classifier.windows.size();
    assertTrue(
        kept < 300, "a window of 1 s holds some 100 of 2,000 keys, and the keys kept are " + kept);
  }
}
