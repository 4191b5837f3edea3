package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests which idle times allow reuse, depending on the recorded outcomes. */
class IdleReusePolicyTest {

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long SHORT_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long LONG_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);
  private static final long LONGER_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(3000);

  private final IdleReusePolicy policy = new IdleReusePolicy();

  @Test
  void rejectsIdleTimeAtWhichConnectionsBreakAndAllLongerOnes() {
    for (int i = 0; i < 3; i++) {
      assertTrue(policy.allowsReuse(0, LONG_IDLE_NANOS), "too few observations");
      policy.recordReuse(0, LONG_IDLE_NANOS, true);
    }
    assertFalse(policy.allowsReuse(0, LONG_IDLE_NANOS));
    assertFalse(policy.allowsReuse(0, LONGER_IDLE_NANOS));
    assertTrue(policy.allowsReuse(0, SHORT_IDLE_NANOS));
  }

  @Test
  void allowsIdleTimeAtWhichFewConnectionsBreak() {
    for (int i = 0; i < 40; i++) {
      policy.recordReuse(0, LONG_IDLE_NANOS, i % 10 == 0);
    }
    assertTrue(policy.allowsReuse(0, LONG_IDLE_NANOS));
  }

  @Test
  void allowsReuseAgainOnceObservationsHaveDecayed() {
    for (int i = 0; i < 5; i++) {
      policy.recordReuse(0, LONG_IDLE_NANOS, true);
    }
    assertFalse(policy.allowsReuse(SECOND_NANOS, LONG_IDLE_NANOS));
    assertTrue(policy.allowsReuse(60 * SECOND_NANOS, LONG_IDLE_NANOS));
  }
}
