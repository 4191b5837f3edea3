package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Draws the disruptions of a run from its seed, such that several overlap at any time. */
final class Schedule {

  /** Time without disruptions at the start, in which the proxies learn the usual load. */
  private static final long FIRST_MILLIS = 2000;

  /** Time without new disruptions at the end, so that the effects of the last ones are observed. */
  private static final long LAST_MILLIS = 3000;

  private static final long MEAN_DURATION_MILLIS = 1500;
  private static final long MIN_DURATION_MILLIS = 100;
  private static final int OVERLAPPING = 5;
  private static final int MAX_TARGET = 1 << 16;

  /** Fraction of disruptions followed closely by the next one, to provoke race conditions. */
  private static final double TOGETHER_PART = 0.3;

  private static final long TOGETHER_MILLIS = 60;

  /**
   * Fraction of disruptions that are failing system calls, in addition to those drawn uniformly.
   * This kind has many variants.
   */
  private static final double SYSTEM_CALLS_PART = 0.25;

  private Schedule() {}

  /**
   * Draws the disruptions of a run.
   *
   * @param runMillis the length of the run
   * @param processes the number of proxies; the rate of disruptions grows with it
   */
  static List<Trouble> draw(long seed, long runMillis, int processes) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Trouble> troubles = new ArrayList<>();
    double perMilli = OVERLAPPING * Math.max(1, processes / 8.0) / MEAN_DURATION_MILLIS;
    long at = FIRST_MILLIS;
    while (at < runMillis - LAST_MILLIS) {
      troubles.add(trouble(random, at));
      boolean together = random.nextDouble() < TOGETHER_PART;
      at +=
          together
              ? random.nextLong(TOGETHER_MILLIS)
              : 1 + (long) (-Math.log(1 - random.nextDouble()) / perMilli);
    }
    troubles.sort(Comparator.comparingLong(Trouble::atMillis));
    return troubles;
  }

  private static Trouble trouble(UniformRandomProvider random, long at) {
    TroubleKind[] kinds = TroubleKind.values();
    boolean systemCalls = random.nextDouble() < SYSTEM_CALLS_PART;
    TroubleKind kind = systemCalls ? TroubleKind.SYSTEM_CALLS : kinds[random.nextInt(kinds.length)];
    long duration = MIN_DURATION_MILLIS + random.nextLong(2 * MEAN_DURATION_MILLIS);
    return new Trouble(at, kind, random.nextInt(MAX_TARGET), duration, random.nextInt(MAX_TARGET));
  }
}
