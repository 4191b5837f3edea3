package loadbalancer.gossip;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Exchanges gossip with the other instances as UDP datagrams, one message per datagram. */
public final class GossipChannel implements GossipSender {

  private static final Logger LOG = Logger.getLogger(GossipChannel.class.getName());

  private final int instanceIndex;
  private final List<InetSocketAddress> instances;
  private final InetSocketAddress broadcastAddress;

  /** The bound socket; null until {@link #listen}. */
  private Channel channel;

  /**
   * Creates a channel that is not bound yet.
   *
   * @param instanceIndex the index of this instance
   * @param instances the addresses of all instances, this one included, by index
   * @param broadcastAddress the address to which a message to all other instances is sent once;
   *     null to send it to each of them
   */
  public GossipChannel(
      int instanceIndex, List<InetSocketAddress> instances, InetSocketAddress broadcastAddress) {
    this.instanceIndex = instanceIndex;
    this.instances = instances;
    this.broadcastAddress = broadcastAddress;
  }

  /**
   * Binds the socket and passes every message of another instance to the receiver. Datagrams from
   * unknown addresses are ignored.
   */
  public ChannelFuture listen(
      EventLoopGroup group, InetSocketAddress address, GossipReceiver receiver) {
    ChannelFuture bound =
        new Bootstrap()
            .group(group)
            .channel(NioDatagramChannel.class)
            .handler(new DatagramHandler(receiver))
            .bind(address);
    channel = bound.channel();
    return bound;
  }

  /** Returns the bound address, with the port that the system chose if none was given. */
  public InetSocketAddress address() {
    return (InetSocketAddress) channel.localAddress();
  }

  @Override
  public void send(int to, byte[] data) {
    if (channel == null) {
      return;
    }
    if (to < 0) {
      sendToAll(data);
    } else if (to < instances.size()) {
      sendTo(instances.get(to), data);
    }
  }

  private void sendToAll(byte[] data) {
    if (broadcastAddress != null) {
      sendTo(broadcastAddress, data);
      return;
    }
    for (int i = 0; i < instances.size(); i++) {
      if (i != instanceIndex) {
        sendTo(instances.get(i), data);
      }
    }
  }

  private void sendTo(InetSocketAddress address, byte[] data) {
    channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(data), address));
  }

  private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {

    private final GossipReceiver receiver;

    DatagramHandler(GossipReceiver receiver) {
      this.receiver = receiver;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      int from = instances.indexOf(packet.sender());
      if (from >= 0 && from != instanceIndex) {
        receiver.receive(from, ByteBufUtil.getBytes(packet.content()));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.log(Level.FINE, "gossip_datagram_failed", cause);
    }
  }
}
