package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws the disruptions of a run from its seed, such that several overlap at any time. */
final class DisruptionSchedule {

  /** Time without disruptions at the start, in which the proxies learn the usual load. */
  private static final long INITIAL_QUIET_MILLIS = 2000;

  /** Time without new disruptions at the end, so that the effects of the last ones are observed. */
  private static final long FINAL_QUIET_MILLIS = 3000;

  private static final long MEAN_DURATION_MILLIS = 1500;
  private static final long MIN_DURATION_MILLIS = 100;
  private static final int MEAN_OVERLAPPING = 5;
  private static final int RANDOM_BOUND = 1 << 16;

  /** Fraction of disruptions followed closely by the next one, to provoke race conditions. */
  private static final double CLOSE_FRACTION = 0.3;

  private static final long CLOSE_INTERVAL_MILLIS = 60;

  /**
   * Fraction of disruptions that are failing system calls, in addition to those drawn uniformly.
   * This kind has many variants.
   */
  private static final double EXTRA_SYSTEM_CALLS_FRACTION = 0.25;

  private DisruptionSchedule() {}

  /**
   * Draws the disruptions of a run.
   *
   * @param runMillis the length of the run
   * @param processes the number of proxies; the rate of disruptions grows with it
   */
  static List<Disruption> draw(long seed, long runMillis, int processes) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Disruption> disruptions = new ArrayList<>();
    double perMilli = MEAN_OVERLAPPING * Math.max(1, processes / 8.0) / MEAN_DURATION_MILLIS;
    long at = INITIAL_QUIET_MILLIS;
    while (at < runMillis - FINAL_QUIET_MILLIS) {
      disruptions.add(drawOne(random, at));
      boolean isCloseToNext = random.nextDouble() < CLOSE_FRACTION;
      at +=
          isCloseToNext
              ? random.nextLong(CLOSE_INTERVAL_MILLIS)
              : 1 + (long) (-Math.log(1 - random.nextDouble()) / perMilli);
    }
    disruptions.sort(Comparator.comparingLong(Disruption::atMillis));
    return disruptions;
  }

  private static Disruption drawOne(UniformRandomProvider random, long at) {
    DisruptionKind[] kinds = DisruptionKind.values();
    boolean isSystemCallFault = random.nextDouble() < EXTRA_SYSTEM_CALLS_FRACTION;
    DisruptionKind kind =
        isSystemCallFault ? DisruptionKind.SYSTEM_CALLS : kinds[random.nextInt(kinds.length)];
    long duration = MIN_DURATION_MILLIS + random.nextLong(2 * MEAN_DURATION_MILLIS);
    return new Disruption(
        at, kind, random.nextInt(RANDOM_BOUND), duration, random.nextInt(RANDOM_BOUND));
  }
}
