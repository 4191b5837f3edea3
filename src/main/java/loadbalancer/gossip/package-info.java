/**
 * Gossip between the instances of a group by datagrams. Delivery is best effort: a message may be
 * late, lost or duplicated, and nothing is acknowledged. The contents belong to the decision
 * engine.
 */
package loadbalancer.gossip;
