package loadbalancer.gossip;

/** Receives the messages of other instances of the group, on the event loop. */
public interface GossipReceiver {

  /**
   * Handles a message.
   *
   * @param from the index of the instance that sent it
   * @param data the contents of the message, which the receiver may keep
   */
  void receive(int from, byte[] data);
}
