/**
 * The adapter between the decision engine and the simulator, which sends batches of events as lines
 * of JSON and gets the engine's actions in the same form.
 */
package loadbalancer.simulator;
