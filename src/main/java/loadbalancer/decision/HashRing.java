package loadbalancer.decision;

import java.util.Arrays;
import java.util.List;

/**
 * A consistent-hash ring: sorted points, each of which belongs to one member. Members are
 * identified by their slots, which they keep while they are on the ring. The points are stored in
 * buckets by their highest bits, so that a change rebuilds only the buckets that it touches.
 */
final class HashRing {

  private static final long SLOT_MASK = 0xffff; // low bits of a point, which hold its member's slot

  // Highest mean number of points in a bucket after a split.
  private static final int TARGET_BUCKET_POINTS = 64;

  private long[][] buckets = {{}}; // their number is a power of two; each is sorted
  private int bucketBits; // number of a point's high bits that select its bucket
  private int pointCount;

  /**
   * A member of the ring.
   *
   * @param slot the member's slot, unique among the members
   * @param id determines the positions of its points, which are the same on every ring
   * @param points the number of its points
   */
  record Member(int slot, long id, int points) {}

  /** Removes members, which must be given exactly as they were added, and adds others. */
  void update(List<Member> leaving, List<Member> joining) {
    long[] removed = points(leaving);
    long[] added = points(joining);
    pointCount += added.length - removed.length;
    if (pointCount > 2 * TARGET_BUCKET_POINTS * buckets.length) {
      split();
    }
    int removedFrom = 0;
    int addedFrom = 0;
    while (removedFrom < removed.length || addedFrom < added.length) {
      int bucket = Math.min(bucketAt(removed, removedFrom), bucketAt(added, addedFrom));
      int removedTo = endOfBucket(removed, removedFrom, bucket);
      int addedTo = endOfBucket(added, addedFrom, bucket);
      buckets[bucket] =
          merge(
              buckets[bucket],
              Arrays.copyOfRange(removed, removedFrom, removedTo),
              Arrays.copyOfRange(added, addedFrom, addedTo));
      removedFrom = removedTo;
      addedFrom = addedTo;
    }
  }

  private static long[] points(List<Member> members) {
    long[] points = new long[members.stream().mapToInt(Member::points).sum()];
    int next = 0;
    for (Member member : members) {
      for (int i = 0; i < member.points; i++) {
        points[next++] = (mix(mix(member.id) + i) & ~SLOT_MASK) | member.slot;
      }
    }
    Arrays.sort(points);
    return points;
  }

  /** Increases the number of buckets to suit {@code pointCount} and redistributes the points. */
  private void split() {
    long[] all = Arrays.stream(buckets).flatMapToLong(Arrays::stream).toArray();
    while (pointCount > TARGET_BUCKET_POINTS << bucketBits) {
      bucketBits++;
    }
    buckets = new long[1 << bucketBits][];
    int from = 0;
    for (int bucket = 0; bucket < buckets.length; bucket++) {
      int to = endOfBucket(all, from, bucket);
      buckets[bucket] = Arrays.copyOfRange(all, from, to);
      from = to;
    }
  }

  private int bucketOf(long point) {
    // Points are sorted as signed numbers, so the first bucket holds the lowest ones.
    return bucketBits == 0 ? 0 : (int) ((point ^ Long.MIN_VALUE) >>> (Long.SIZE - bucketBits));
  }

  private int bucketAt(long[] sorted, int index) {
    return index < sorted.length ? bucketOf(sorted[index]) : Integer.MAX_VALUE;
  }

  private int endOfBucket(long[] sorted, int from, int bucket) {
    int to = from;
    while (bucketAt(sorted, to) == bucket) {
      to++;
    }
    return to;
  }

  /** Returns a bucket's points without the removed and with the added ones; all are sorted. */
  private static long[] merge(long[] bucket, long[] removed, long[] added) {
    long[] merged = new long[bucket.length - removed.length + added.length];
    int length = 0;
    int nextRemoved = 0;
    int nextAdded = 0;
    for (long point : bucket) {
      if (nextRemoved < removed.length && removed[nextRemoved] == point) {
        nextRemoved++;
        continue;
      }
      while (nextAdded < added.length && added[nextAdded] < point) {
        merged[length++] = added[nextAdded++];
      }
      merged[length++] = point;
    }
    while (nextAdded < added.length) {
      merged[length++] = added[nextAdded++];
    }
    return merged;
  }

  /** An endless walk around the ring, which must have points. */
  final class Walk {

    private int bucket;
    private int next;

    private Walk(long hash) {
      bucket = bucketOf(hash);
      int index = Arrays.binarySearch(buckets[bucket], hash & ~SLOT_MASK);
      next = index < 0 ? -index - 1 : index;
    }

    /** Returns the slot of the member at the next point. */
    int nextSlot() {
      while (next >= buckets[bucket].length) {
        bucket = (bucket + 1) % buckets.length;
        next = 0;
      }
      return (int) (buckets[bucket][next++] & SLOT_MASK);
    }
  }

  /** Returns a walk that starts at the position of a hash; the ring must not change meanwhile. */
  Walk walkFrom(long hash) {
    return new Walk(hash);
  }

  /** Mixes the bits of a number, as SplitMix64 does. */
  static long mix(long number) {
    long mixed = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns a pseudo-random number from 0 to below 1 that depends only on two given numbers. */
  static double fraction(long one, long other) {
    return (mix(one ^ other) >>> 11) * 0x1p-53;
  }
}
