/**
 * Network utilities that do not depend on what the program proxies: socket addresses, the monotonic
 * clock, the budgets of file descriptors, memory and log lines, and extensions of the event loop
 * and its channels.
 */
package loadbalancer.net;
