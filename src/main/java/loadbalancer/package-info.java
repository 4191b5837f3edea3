/**
 * A load-balancing proxy for fleets of HTTP servers: entry point and subcommands.
 *
 * <p>{@code loadbalancer.decision} makes every decision and is free of input and output. {@code
 * loadbalancer.proxy} runs it behind real sockets ({@code serve}), {@code loadbalancer.simulator}
 * behind the simulator's wire ({@code drill}).
 */
package loadbalancer;
