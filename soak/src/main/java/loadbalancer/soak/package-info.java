/**
 * Soak test of the load balancer with real processes on the loopback interface. It starts proxies,
 * simulates their clients, upstreams and discovery, injects overlapping disruptions drawn from a
 * seed, and checks the recorded events against the invariants that the proxy guarantees.
 */
package loadbalancer.soak;
