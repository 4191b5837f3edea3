/** The HTTP paths, headers and limits that clients, this proxy and upstreams share. */
package loadbalancer.http;
