/**
 * Endpoint discovery. {@link loadbalancer.discovery.DiscoveryClient} fetches and watches the
 * endpoint list and holds the address of discovery. Each call is a {@code DiscoveryStream}, which
 * owns its connection and its time limits. {@link loadbalancer.discovery.EndpointListParser} parses
 * the received lists, and {@link loadbalancer.discovery.EndpointDirectory} applies them and holds
 * the listed endpoints.
 */
package loadbalancer.discovery;
