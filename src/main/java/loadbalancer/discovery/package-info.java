/**
 * Endpoint discovery. {@link loadbalancer.discovery.DiscoveryClient} fetches and watches the
 * endpoint list and decides where the watch goes; each call is a {@code DiscoveryStream}, which
 * owns its connection and its time limits; {@link loadbalancer.discovery.EndpointDirectory} owns
 * the list as it was last accepted.
 */
package loadbalancer.discovery;
