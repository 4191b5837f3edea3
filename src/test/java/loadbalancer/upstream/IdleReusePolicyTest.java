package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** At which idle times connections are reused, by what has been observed. */
class IdleReusePolicyTest {

  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long YOUNG = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long OLD = TimeUnit.MILLISECONDS.toNanos(1000);
  private static final long OLDER = TimeUnit.MILLISECONDS.toNanos(3000);

  private final IdleReusePolicy policy = new IdleReusePolicy();

  @Test
  void rejectsTheAgeAtWhichConnectionsBreakAndAllAbove() {
    for (int i = 0; i < 3; i++) {
      assertTrue(policy.allowsReuse(0, OLD), "too few observations");
      policy.recordReuse(0, OLD, true);
    }
    assertFalse(policy.allowsReuse(0, OLD));
    assertFalse(policy.allowsReuse(0, OLDER));
    assertTrue(policy.allowsReuse(0, YOUNG));
  }

  @Test
  void allowsAnAgeAtWhichFewConnectionsBreak() {
    for (int i = 0; i < 40; i++) {
      policy.recordReuse(0, OLD, i % 10 == 0);
    }
    assertTrue(policy.allowsReuse(0, OLD));
  }

  @Test
  void allowsReuseAgainOnceObservationsHaveDecayed() {
    for (int i = 0; i < 5; i++) {
      policy.recordReuse(0, OLD, true);
    }
    assertFalse(policy.allowsReuse(SECOND, OLD));
    assertTrue(policy.allowsReuse(60 * SECOND, OLD));
  }
}
