package loadbalancer.proxy;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import loadbalancer.downstream.ListenerChannel;
import loadbalancer.upstream.UpstreamChannel;

/** The bootstraps of the proxy's sockets, with their options. */
final class Bootstraps {

  /**
   * Size of the kernel's queue of pending connections; many arrive at once when other instances
   * restart.
   */
  private static final int ACCEPT_BACKLOG = 1024;

  /**
   * Size of the buffers into which connections are read. A connection keeps one for as long as a
   * part of a head is in it, so hundreds of them must fit into the memory for buffers.
   */
  private static final int READ_BUFFER_BYTES = 4 * 1024;

  /** Number of reads from an upstream or discovery in a row, after which others get their turn. */
  private static final int MAX_UPSTREAM_READS = 16;

  /**
   * Number of reads from a client in a row. A little input can be much work, so that fewer are made
   * than from an upstream.
   */
  private static final int MAX_CLIENT_READS = 3;

  private Bootstraps() {}

  /**
   * Creates the bootstrap that accepts clients. Without TCP_NODELAY the kernel could hold back a
   * small response and discard it if the connection is reset.
   */
  static ServerBootstrap forClients(EventLoopGroup group) {
    return new ServerBootstrap()
        .group(group)
        .channel(ListenerChannel.class)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, readBuffers(MAX_CLIENT_READS));
  }

  /** Creates the bootstrap that connects to upstreams and to discovery. */
  static Bootstrap forUpstreams(EventLoopGroup group) {
    return new Bootstrap()
        .group(group)
        .channelFactory(UpstreamChannel::new)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.RECVBUF_ALLOCATOR, readBuffers(MAX_UPSTREAM_READS));
  }

  private static RecvByteBufAllocator readBuffers(int maxReads) {
    return new FixedRecvByteBufAllocator(READ_BUFFER_BYTES).maxMessagesPerRead(maxReads);
  }
}
