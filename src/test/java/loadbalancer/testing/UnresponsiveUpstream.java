package loadbalancer.testing;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** An upstream whose accept queue is full, so that new connections are not established. */
public final class UnresponsiveUpstream implements AutoCloseable {

  private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
  private final List<Socket> backlog = new ArrayList<>();

  /** Starts to listen, and fills the accept queue until no further connection is established. */
  public UnresponsiveUpstream() throws IOException {
    while (true) {
      Socket socket = new Socket();
      backlog.add(socket);
      try {
        socket.connect(listener.getLocalSocketAddress(), 300);
      } catch (SocketTimeoutException e) {
        return;
      }
    }
  }

  /** Returns the address of the upstream, as host:port. */
  public String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /**
   * Empties the accept queue and returns the proxy's connection, which is established when the
   * kernel retransmits its SYN after a second.
   */
  public Socket accept() throws IOException {
    while (true) {
      Socket accepted = listener.accept();
      if (backlog.stream().noneMatch(socket -> socket.getLocalPort() == accepted.getPort())) {
        return accepted;
      }
      accepted.close();
    }
  }

  @Override
  public void close() throws IOException {
    for (Socket socket : backlog) {
      socket.close();
    }
    listener.close();
  }
}
