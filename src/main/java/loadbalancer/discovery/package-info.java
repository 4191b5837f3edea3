/**
 * Endpoint discovery. {@link loadbalancer.discovery.DiscoveryClient} fetches and watches the
 * endpoint list and holds the address of discovery. Each call is a {@code DiscoveryStream}, which
 * owns its connection and its time limits. {@link loadbalancer.discovery.EndpointListParser} parses
 * the received lists, and {@link loadbalancer.discovery.EndpointDirectory} holds the endpoints of
 * the last accepted one.
 */
package loadbalancer.discovery;
