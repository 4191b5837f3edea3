/**
 * Endpoint discovery. {@link loadbalancer.discovery.DiscoveryClient} fetches and watches the
 * endpoint list and holds the address of discovery. Each call is a {@code DiscoveryStream}, which
 * owns its connection and its time limits. {@link loadbalancer.discovery.EndpointDirectory} holds
 * the last accepted list.
 */
package loadbalancer.discovery;
