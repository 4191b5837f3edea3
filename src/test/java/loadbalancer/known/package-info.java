/** Support for tests that are known to fail, shared with the tests of the soak harness. */
package loadbalancer.known;
