/**
 * The interface of the decision engine: the events that it handles, the actions that it requests,
 * and its settings.
 *
 * <p>Durations and clock readings are nanoseconds; clock readings share one arbitrary origin and
 * never go back.
 */
package loadbalancer.decision.api;
