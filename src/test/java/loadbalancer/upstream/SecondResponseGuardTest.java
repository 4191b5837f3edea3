package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the length of the quiet period after a response. */
class SecondResponseGuardTest {

  private final SecondResponseGuard guard = new SecondResponseGuard();

  private boolean isOverAfterMillis(long millis) {
    return guard.isQuietPeriodOver(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  private void recordAfterMillis(long millis) {
    guard.recordSecondResponse(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Test
  void growsToTwiceTheLongestDelay() {
    assertFalse(isOverAfterMillis(9));
    assertTrue(isOverAfterMillis(10));
    recordAfterMillis(30);
    recordAfterMillis(20);
    assertFalse(isOverAfterMillis(59));
    assertTrue(isOverAfterMillis(60));
  }

  @Test
  void doesNotGrowBeyondMaximum() {
    recordAfterMillis(100);
    assertFalse(isOverAfterMillis(99));
    assertTrue(isOverAfterMillis(100));
  }

  @Test
  void ignoresBytesAfterMaximumQuietPeriod() {
    recordAfterMillis(101);
    assertTrue(isOverAfterMillis(10));
  }
}
