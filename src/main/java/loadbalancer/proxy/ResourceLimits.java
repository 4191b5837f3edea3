package loadbalancer.proxy;

import loadbalancer.config.BalancerConfig;

/**
 * Limits on the resources that a proxy uses.
 *
 * @param maxDescriptors maximum number of file descriptors of the process
 * @param maxBodyBytes memory for the bodies of requests and responses and for the heads of queued
 *     requests
 * @param maxRequestBytes the part of {@code maxBodyBytes} that requests may take
 */
record ResourceLimits(int maxDescriptors, long maxBodyBytes, long maxRequestBytes) {

  /** No limits, for a proxy within the process. */
  static final ResourceLimits UNLIMITED =
      new ResourceLimits(Integer.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  /** The part of the process's memory that {@code deploy/run.sh} assigns to direct buffers. */
  private static final double DIRECT_MEMORY_SHARE = 1.0 / 8;

  /**
   * The part of the direct memory that bodies may take. The rest is for what is not part of a body:
   * incomplete heads, endpoint lists, what is being read.
   */
  private static final double BODY_SHARE = 0.75;

  /** The part of the direct memory that requests may take, so that responses find room. */
  private static final double REQUEST_SHARE = 0.5;

  /** Returns the limits of the configuration. */
  static ResourceLimits of(BalancerConfig config) {
    double directMemoryBytes = config.memoryBytes() * DIRECT_MEMORY_SHARE;
    return new ResourceLimits(
        config.maxDescriptors(),
        (long) (directMemoryBytes * BODY_SHARE),
        (long) (directMemoryBytes * REQUEST_SHARE));
  }
}
