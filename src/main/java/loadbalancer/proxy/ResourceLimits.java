package loadbalancer.proxy;

import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.LoadBalancingEngine;

/**
 * Limits on the resources that a proxy uses.
 *
 * @param maxDescriptors maximum number of file descriptors of the process
 * @param maxBodyBytes memory for the bodies of requests and responses
 * @param maxRequestBytes the part of {@code maxBodyBytes} that requests may take
 * @param maxHeadBytes heap for the heads that exceed what each connection is guaranteed
 * @param maxKeyedWindows maximum number of keys whose traffic the decision engine counts
 */
record ResourceLimits(
    int maxDescriptors,
    long maxBodyBytes,
    long maxRequestBytes,
    long maxHeadBytes,
    int maxKeyedWindows) {

  /** More keys than that do not improve decisions. */
  private static final int MAX_KEYED_WINDOWS = 8_000;

  /** No limits, for a proxy within the process. */
  static final ResourceLimits UNLIMITED =
      new ResourceLimits(
          Integer.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, MAX_KEYED_WINDOWS);

  /** The part of the process's memory that {@code deploy/run.sh} assigns to direct buffers. */
  private static final double DIRECT_MEMORY_SHARE = 1.0 / 8;

  /**
   * The part of the direct memory that bodies may take. The rest is for what is not part of a body:
   * incomplete heads, endpoint lists, what is being read.
   */
  private static final double BODY_SHARE = 0.75;

  /** The part of the direct memory that requests may take, so that responses find room. */
  private static final double REQUEST_SHARE = 0.5;

  private static final double MEBIBYTE = 1 << 20;

  /** Memory of the process that is not for the heap, as {@code deploy/run.sh} divides it. */
  private static final double NON_HEAP_BYTES = 64 * MEBIBYTE;

  /** The part of the rest that is for the heap, and its limits. */
  private static final double HEAP_SHARE = 0.5;

  private static final double MIN_HEAP_BYTES = 12 * MEBIBYTE;
  private static final double MAX_HEAP_BYTES = 64 * MEBIBYTE;

  /**
   * The part of the heap for heads beyond the guaranteed ones. The rest is for the program itself,
   * connections, endpoints, and garbage between two collections.
   */
  private static final double HEAD_SHARE = 1.0 / 12;

  /** The part of the heap for the counters of keys. */
  private static final double KEYED_WINDOW_SHARE = 1.0 / 12;

  /** Returns the limits of the configuration. */
  static ResourceLimits of(BalancerConfig config) {
    double heapBytes = heapBytes(config.memoryBytes());
    double keyedWindows = heapBytes * KEYED_WINDOW_SHARE / LoadBalancingEngine.KEYED_WINDOW_BYTES;
    double directMemoryBytes = config.memoryBytes() * DIRECT_MEMORY_SHARE;
    return new ResourceLimits(
        config.maxDescriptors(),
        (long) (directMemoryBytes * BODY_SHARE),
        (long) (directMemoryBytes * REQUEST_SHARE),
        (long) (heapBytes * HEAD_SHARE),
        (int) Math.min(MAX_KEYED_WINDOWS, keyedWindows));
  }

  /** Returns the size of the heap that {@code deploy/run.sh} chooses. */
  private static double heapBytes(long memoryBytes) {
    double bytes = (memoryBytes - NON_HEAP_BYTES) * HEAP_SHARE;
    return Math.min(MAX_HEAP_BYTES, Math.max(MIN_HEAP_BYTES, bytes));
  }
}
