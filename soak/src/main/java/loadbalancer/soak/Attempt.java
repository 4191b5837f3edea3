package loadbalancer.soak;

/**
 * An attempt that reached an upstream. Times are values of {@link System#nanoTime()}.
 *
 * @param traceId the trace id that the client sent
 * @param endpoint the upstream's name
 * @param startedUnixMillis the start of the upstream's incarnation; 0 if it started long ago
 * @param firstByteNanos the time at which the attempt's first byte arrived
 * @param lastByteNanos the time at which the attempt's last byte arrived, by which it is assigned
 *     to a slow start window
 * @param remainingMillis the remaining time that the attempt states; -1 if it states none
 * @param ran false if the upstream responded that the request did not run
 * @param response the mode in which the upstream handled it
 */
record Attempt(
    String traceId,
    String endpoint,
    long startedUnixMillis,
    long firstByteNanos,
    long lastByteNanos,
    long remainingMillis,
    boolean ran,
    String response) {}
