/**
 * The interface of the decision engine: the events it is given, the actions it asks for, and the
 * settings it is made with.
 *
 * <p>Durations and clock readings are nanoseconds; clock readings share one arbitrary origin and
 * never go back.
 */
package loadbalancer.decision.api;
