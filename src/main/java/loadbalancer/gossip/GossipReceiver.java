package loadbalancer.gossip;

/** Is handed the messages that come from other instances of the group. */
public interface GossipReceiver {

  /** A message from the instance with this index has arrived. */
  void receive(int from, byte[] data);
}
