/**
 * The decisions of a load balancer, apart from input and output: {@link
 * loadbalancer.decision.LoadBalancingEngine} hands each event to the part whose job it is. Each
 * part owns its state and its constants. Times and clock readings are nanoseconds.
 */
package loadbalancer.decision;
