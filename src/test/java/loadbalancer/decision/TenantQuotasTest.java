package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.requestClass;
import static loadbalancer.decision.EngineDriver.settings;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.DedupScope;
import loadbalancer.decision.api.Idempotence;
import loadbalancer.decision.api.Tenant;
import org.junit.jupiter.api.Test;

/** Tests which requests exceed a quota, and how they are treated. */
class TenantQuotasTest {

  /**
   * Returns the number of rejections of one tenant. Each tenant has a quota of one request a
   * second, and each of the given ones sends ten a second.
   */
  private static int rejectionsOf(String tenant, String... activeTenants) {
    EngineDriver driver =
        new EngineDriver(
                settings(
                    false,
                    List.of(new Tenant("a", 1, 1), new Tenant("b", 1, 1), new Tenant("c", 1, 1)),
                    requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL)))
            .withEndpoints(5);
    for (int i = 0; i < 300; i++) {
      for (String t : activeTenants) {
        driver.request(t + driver.nextRequestId(), "c", t, "k" + i % 50, 0);
      }
      driver.advanceEndingAttempts(100 * MS, AttemptStatus.SUCCESS, 140 * MS);
    }
    return driver.rejections.getOrDefault(tenant, 0);
  }

  @Test
  void rejectsRequestsOverAQuotaFirst() {
    EngineDriver driver =
        new EngineDriver(
                settings(
                    false,
                    List.of(new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000)),
                    requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL)))
            .withEndpoints(5);
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        driver.request(tenant + driver.nextRequestId(), "c", tenant, "k" + i % 50, 0);
      }
      driver.advanceEndingAttempts(20 * MS, AttemptStatus.SUCCESS, 140 * MS);
    }
    assertTrue(
        driver.rejections.getOrDefault("b", 0) > 300,
        "rejections by tenant; the big one is over its quota: " + driver.rejections);
    assertEquals(
        0, driver.rejections.getOrDefault("s", 0), "rejections of the tenant within its quota");
  }

  @Test
  void aFewRequestsThatArriveTogetherDoNotExceedASmallQuota() {
    EngineDriver driver =
        new EngineDriver(
                settings(
                    false,
                    List.of(new Tenant("t", 1, 0.5)),
                    requestClass("c", Idempotence.IDEMPOTENT, DedupScope.ALL)))
            .withEndpoints(1);
    for (int i = 0; i < 200; i++) {
      // This latency is too high for requests over quota, but healthy for those within.
      driver.request(driver.nextRequestId(), "c", "k" + i % 50);
      driver.advanceEndingAttempts(190 * MS, AttemptStatus.SUCCESS, 180 * MS);
    }
    for (int i = 0; i < 8; i++) {
      driver.request("t" + driver.nextRequestId(), "c", "t", "k" + i, 0);
      driver.advanceEndingAttempts(190 * MS, AttemptStatus.SUCCESS, 180 * MS);
    }
    assertEquals(0, driver.rejections.getOrDefault("t", 0));
  }

  /** One instance gets far more than its even share of the traffic of all tenants. */
  @Test
  void grantsMoreOfTheQuotasWhereItCarriesMoreOfTheTraffic() {
    int all = rejectionsOf("a", "a", "b", "c");
    int alone = rejectionsOf("a", "a");
    assertTrue(
        all < alone / 2,
        "rejected "
            + all
            + " if all tenants send ten times their quotas, "
            + alone
            + " if only one does");
  }
}
