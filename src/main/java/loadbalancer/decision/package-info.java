/**
 * The decision logic of a load balancer, without input and output. {@link
 * loadbalancer.decision.LoadBalancingEngine} dispatches each event to the component that handles
 * it. Each component owns its state and its constants. Times and clock readings are nanoseconds.
 */
package loadbalancer.decision;
