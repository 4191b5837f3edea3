package loadbalancer.gossip;

/** Sends messages to other instances of the group, without a guarantee of delivery. */
public interface GossipSender {

  /**
   * Sends a message.
   *
   * @param to the index of the receiving instance, or -1 for all others; an index that no instance
   *     has is ignored
   * @param data the contents, which the caller must not change afterwards
   */
  void send(int to, byte[] data);
}
