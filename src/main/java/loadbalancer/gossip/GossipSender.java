package loadbalancer.gossip;

/** Sends messages to other instances of the group. */
public interface GossipSender {

  /** Sends a message to one instance, or to all others where {@code to} is -1. */
  void send(int to, byte[] data);
}
