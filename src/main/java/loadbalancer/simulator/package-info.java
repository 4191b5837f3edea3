/**
 * The adapter between the decision engine and the simulator: batches of events come in as lines of
 * JSON, and the engine's actions go out in the same way.
 */
package loadbalancer.simulator;
