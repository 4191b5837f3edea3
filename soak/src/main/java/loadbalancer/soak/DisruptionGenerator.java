package loadbalancer.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/** Generates the disruptions of a run from its seed. Several are in progress at a time. */
final class DisruptionGenerator {

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
   * Fraction of disruptions that are failing system calls, in addition to those drawn uniformly,
   * because this kind has more variants than the others.
   */
  private static final double EXTRA_SYSTEM_CALLS_FRACTION = 0.25;

  private DisruptionGenerator() {}

  /**
   * Returns the disruptions of a run, in the order of their start.
   *
   * @param runMillis the length of the run
   * @param processes the number of proxies; the rate of disruptions grows with it
   */
  static List<Disruption> generate(long seed, long runMillis, int processes) {
    UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    List<Disruption> disruptions = new ArrayList<>();
    double disruptionsPerMilli =
        MEAN_OVERLAPPING * Math.max(1, processes / 8.0) / MEAN_DURATION_MILLIS;
    long atMillis = INITIAL_QUIET_MILLIS;
    while (atMillis < runMillis - FINAL_QUIET_MILLIS) {
      disruptions.add(generateOne(random, atMillis));
      boolean isCloseToNext = random.nextDouble() < CLOSE_FRACTION;
      atMillis +=
          isCloseToNext
              ? random.nextLong(CLOSE_INTERVAL_MILLIS)
              : 1 + (long) (-Math.log(1 - random.nextDouble()) / disruptionsPerMilli);
    }
    disruptions.sort(Comparator.comparingLong(Disruption::atMillis));
    return disruptions;
  }

  private static Disruption generateOne(UniformRandomProvider random, long atMillis) {
    DisruptionKind[] kinds = DisruptionKind.values();
    boolean isSystemCallFault = random.nextDouble() < EXTRA_SYSTEM_CALLS_FRACTION;
    DisruptionKind kind =
        isSystemCallFault ? DisruptionKind.SYSTEM_CALLS : kinds[random.nextInt(kinds.length)];
    long durationMillis = MIN_DURATION_MILLIS + random.nextLong(2 * MEAN_DURATION_MILLIS);
    return new Disruption(
        atMillis, kind, random.nextInt(RANDOM_BOUND), durationMillis, random.nextInt(RANDOM_BOUND));
  }
}
