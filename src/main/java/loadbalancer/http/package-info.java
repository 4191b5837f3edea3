/** The HTTP vocabulary that clients, this proxy and upstreams share. */
package loadbalancer.http;
