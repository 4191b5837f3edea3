package loadbalancer.net;

import io.netty.channel.Channel;

/**
 * Divides the file descriptors of the process. The process's own and a spare part are set aside;
 * the rest is shared by connections of clients, up to {@link #maxClientConnections()}, and
 * connections to upstreams. Both are counted by {@link #register}; listeners, discovery and gossip
 * are not, they are part of what is set aside. Confined to the event loop.
 */
public final class DescriptorBudget {

  /**
   * Descriptors of the process itself: jar, standard streams, selector, listeners, gossip, and
   * discovery before and after a reload.
   */
  private static final int PROCESS_DESCRIPTORS = 24;

  /**
   * Descriptors that stay free. Up to 16 connections are accepted before any is closed in exchange,
   * and a closed one keeps its descriptor until the selector has run again. Without a free one the
   * acceptor would pause for a second.
   */
  private static final int SPARE_DESCRIPTORS = 32;

  /** The clients' part of the shared descriptors: each request needs one more for its upstream. */
  private static final double CLIENT_SHARE = 0.5;

  private final int maxDescriptors;
  private final int maxConnections;
  private int openConnections;

  /**
   * Creates a budget.
   *
   * @param maxDescriptors how many descriptors the process may have open
   */
  public DescriptorBudget(int maxDescriptors) {
    this.maxDescriptors = maxDescriptors;
    maxConnections = maxDescriptors - PROCESS_DESCRIPTORS - SPARE_DESCRIPTORS;
  }

  /** Counts a connection until it is closed. */
  public void register(Channel channel) {
    openConnections++;
    channel.closeFuture().addListener(future -> openConnections--);
  }

  /** Returns whether one more connection may be opened. */
  public boolean hasRoom() {
    return openConnections < maxConnections;
  }

  /** Returns whether more than half of the spare descriptors are in use as well. */
  public boolean isNearlyExhausted() {
    return openConnections > maxDescriptors - PROCESS_DESCRIPTORS - SPARE_DESCRIPTORS / 2;
  }

  /**
   * Returns the number of client connections from which on an idle one is closed for each new one.
   */
  public int maxClientConnections() {
    return (int) (maxConnections * CLIENT_SHARE);
  }
}
