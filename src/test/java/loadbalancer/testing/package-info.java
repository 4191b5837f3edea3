/**
 * Fixtures for tests over real loopback sockets: a proxy with a scripted or a real decision engine
 * and its clients, and scripted servers.
 */
package loadbalancer.testing;
