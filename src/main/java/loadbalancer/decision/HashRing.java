package loadbalancer.decision;

import java.util.Arrays;

/** A consistent-hash ring: points in order, each of one member. */
final class HashRing {

  private static final long MEMBER_BITS = 0xffff; // low bits of a point, which name its member

  private final long[] points;

  /** Gives each member, known by its id on any ring, so many points. */
  HashRing(long[] ids, int[] counts) {
    points = new long[Arrays.stream(counts).sum()];
    int next = 0;
    for (int member = 0; member < ids.length; member++) {
      for (int i = 0; i < counts[member]; i++) {
        points[next++] = (mix(mix(ids[member]) + i) & ~MEMBER_BITS) | member;
      }
    }
    Arrays.sort(points);
  }

  /** The place from which a hash walks the ring. */
  int start(long hash) {
    int at = Arrays.binarySearch(points, hash & ~MEMBER_BITS);
    return at < 0 ? -at - 1 : at;
  }

  /** The member at a place; places past the last go on from the first. */
  int member(int place) {
    return (int) (points[place % points.length] & MEMBER_BITS);
  }

  /** Spreads a number's bits evenly. */
  static long mix(long number) {
    long mixed = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** A number from 0 to under 1 that depends on two others alone. */
  static double fraction(long one, long other) {
    return (mix(one ^ other) >>> 11) * 0x1p-53;
  }
}
