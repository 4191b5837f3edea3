package loadbalancer.net;

import io.netty.channel.Channel;

/**
 * Divides the file descriptors of the process. Some are reserved for the process itself and some
 * are kept spare; the rest is shared by client connections, up to {@link #maxClientConnections()},
 * and upstream connections. Both kinds of connections are counted by {@link #register}. Listeners,
 * discovery and gossip use reserved descriptors and are not counted. Confined to the event loop.
 */
public final class DescriptorBudget {

  /**
   * Descriptors reserved for the process itself: jar, standard streams, selector, listeners,
   * gossip, and discovery before and after a reload.
   */
  private static final int PROCESS_DESCRIPTORS = 24;

  /**
   * Descriptors that are kept spare. Up to 16 connections are accepted before one is closed in
   * exchange, and a closed connection keeps its descriptor until the selector has run again.
   * Without a free descriptor the acceptor would pause for a second.
   */
  private static final int SPARE_DESCRIPTORS = 32;

  /**
   * The share of the connections that clients may have: each request needs one more connection to
   * its upstream.
   */
  private static final double CLIENT_SHARE = 0.5;

  private final int maxDescriptors;
  private final int maxConnections;
  private int openConnections;

  /**
   * Creates a budget.
   *
   * @param maxDescriptors the number of descriptors that the process may have open
   */
  public DescriptorBudget(int maxDescriptors) {
    this.maxDescriptors = maxDescriptors;
    maxConnections = maxDescriptors - PROCESS_DESCRIPTORS - SPARE_DESCRIPTORS;
  }

  /** Counts a connection as open until it is closed. */
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

  /** Returns the number of client connections at which an idle one is closed for each new one. */
  public int maxClientConnections() {
    return (int) (maxConnections * CLIENT_SHARE);
  }
}
