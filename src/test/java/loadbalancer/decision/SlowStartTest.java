package loadbalancer.decision;

import static loadbalancer.decision.EngineDriver.MS;
import static loadbalancer.decision.EngineDriver.attemptedEndpoint;
import static loadbalancer.decision.EngineDriver.idempotentSettings;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Settings;
import loadbalancer.decision.api.UpdateKind;
import org.junit.jupiter.api.Test;

/** Tests how many attempts one instance sends to a warming endpoint. */
class SlowStartTest {

  @Test
  void warmingEndpointGetsItsShareOfTheTraffic() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(9);
    for (int i = 0; i < 2000; i++) {
      driver.serve("k" + i, MS);
    }
    driver.updateEndpoints(
        UpdateKind.DELTA, new Endpoint(500, "a", 0, EndpointState.READY, driver.now, 1));
    int attempts = 0;
    int requests = 0;
    for (int i = 0; i < 3000; i++) {
      attempts += driver.serve("k" + i, MS) == 500 ? 1 : 0;
      requests++;
    }
    double fraction = attempts / (requests / 10.0);
    assertTrue(
        fraction > 0.1 && fraction < 0.3 + 0.7 * 3 / 8 + 0.1,
        "attempts at it as a fraction of another endpoint's: " + fraction);
  }

  /**
   * If the budgets of all instances started at 0, the endpoint would be idle for seconds and then
   * get the first attempts of all of them at the same time.
   */
  @Test
  void spreadsTheFirstAttemptsOfManyInstancesOverTime() {
    Settings base = idempotentSettings();
    Settings settings =
        new Settings(
            0,
            20,
            base.zone(),
            base.classes(),
            base.tenants(),
            base.limits(),
            base.contract(),
            base.prices(),
            false,
            base.weightKind(),
            base.overQuotaWeight(),
            base.keyAffinity(),
            base.tickNanos());
    int[] attempts = new int[4];
    for (int instance = 0; instance < 20; instance++) {
      EngineDriver driver = new EngineDriver(settings, instance).withEndpoints(10);
      for (int i = 0; i < 420; i++) {
        if (i == 400) {
          driver.updateEndpoints(
              UpdateKind.DELTA, new Endpoint(500, "a", 0, EndpointState.READY, driver.now, 1));
        }
        boolean isAtWarmingEndpoint = driver.serve("k" + instance + i, MS) == 500;
        attempts[Math.max(0, i / 5 - 80)] += isAtWarmingEndpoint ? 1 : 0;
        driver.advance(99 * MS);
      }
    }
    // In half a second, the instances get 100 requests: about 9 for each of the eleven endpoints,
    // and 3 to 6 for a warming one.
    String message =
        "attempts at a warming endpoint in each of its first four half seconds: "
            + Arrays.toString(attempts);
    assertTrue(Arrays.stream(attempts).sum() >= 5, message);
    assertTrue(Arrays.stream(attempts).max().getAsInt() <= 10, message);
  }

  /**
   * A warming endpoint is slow at first and gets faster only by serving requests, so its latency
   * must not cost it its keys. Its slow-start budget already limits its load.
   */
  @Test
  void warmingEndpointRetainsItsKeysAlthoughItIsSlow() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(5);
    for (int i = 0; i < 1000; i++) {
      driver.serve("k" + i, 10 * MS);
    }
    driver.updateEndpoints(
        UpdateKind.DELTA, new Endpoint(200, "a", 0, EndpointState.READY, driver.now, 1));
    int attempts = 0;
    for (int i = 0; i < 200; i++) {
      String id = driver.nextRequestId();
      long to = attemptedEndpoint(driver.request(id, "c", "k" + i));
      driver.advance(to == 200 ? 25 * MS : 10 * MS);
      driver.endAttempt(id, to, AttemptStatus.SUCCESS, to == 200 ? 25 * MS : 10 * MS);
      attempts += to == 200 ? 1 : 0;
    }
    // Its even share is 33. Its capacity fraction grows from 0.3 to 0.5 meanwhile, which matches a
    // latency 2.5 times that of the others.
    assertTrue(attempts >= 9, "attempts at it: " + attempts);
  }

  /** With as many requests at once as the others get, it would be busy for seconds. */
  @Test
  void warmingEndpointHasAReducedLoadBound() {
    EngineDriver driver = new EngineDriver(idempotentSettings()).withEndpoints(5);
    for (int i = 0; i < 600; i++) {
      driver.request(driver.nextRequestId(), "c", "k" + i);
      driver.advanceEndingAttempts(5 * MS, AttemptStatus.SUCCESS, 100 * MS);
    }
    driver.updateEndpoints(
        UpdateKind.DELTA, new Endpoint(200, "a", 0, EndpointState.READY, driver.now, 1));
    long maxInFlight = 0;
    for (int i = 0; i < 400; i++) {
      driver.request(driver.nextRequestId(), "c", "n" + i);
      maxInFlight =
          Math.max(
              maxInFlight, driver.inFlight.stream().filter(s -> s.endpointId() == 200).count());
      driver.advance(MS);
      for (EngineDriver.InFlightAttempt attempt : List.copyOf(driver.inFlight)) {
        if (attempt.endpointId() != 200 && driver.now - attempt.startedAt() >= 40 * MS) {
          driver.endAttempt(attempt, AttemptStatus.SUCCESS, driver.now - attempt.startedAt());
        }
      }
    }
    assertTrue(
        maxInFlight >= 1 && maxInFlight <= 4,
        "in flight at a capacity fraction of 0.3, while another endpoint has 8: " + maxInFlight);
  }
}
