/**
 * Telemetry of the process: request traces and summaries in the log, and the lag of the event loop.
 *
 * <p>Every log line is {@code event key=value key=value ...}: the event in lower case with
 * underscores, durations in whole milliseconds under keys that end in {@code _ms}, and texts that
 * are not one plain word in double quotes (see {@link loadbalancer.telemetry.LogValues}).
 */
package loadbalancer.telemetry;
