/**
 * Entry point and subcommands of a load-balancing proxy for fleets of HTTP servers.
 *
 * <p>{@code loadbalancer.decision} makes all decisions and performs no input or output. {@code
 * loadbalancer.proxy} runs it with real sockets ({@code serve}), and {@code loadbalancer.simulator}
 * runs it with the simulator's protocol ({@code drill}).
 */
package loadbalancer;
