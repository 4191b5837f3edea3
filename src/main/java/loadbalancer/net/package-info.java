/**
 * Small pieces of network plumbing that do not know what the program proxies: socket addresses, the
 * monotonic clock, the budget of file descriptors, and how the event loop waits and reads.
 */
package loadbalancer.net;
