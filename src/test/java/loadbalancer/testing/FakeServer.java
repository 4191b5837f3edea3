package loadbalancer.testing;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A server on loopback whose every connection follows a script, byte for byte: an upstream or a
 * discovery agent. Each connection's script runs on a thread of its own.
 */
public final class FakeServer implements AutoCloseable {

  private static final int ACCEPT_BACKLOG = 50;

  /** What a connection does; it is closed when the script returns. */
  public interface Script {
    void run(Connection connection) throws IOException, InterruptedException;
  }

  /** All requests that were read, in the order of their last bytes. */
  public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

  /** All connections that were accepted, in order. */
  public final BlockingQueue<Connection> connections = new LinkedBlockingQueue<>();

  private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;

  /** Starts a server on a port that the system chooses. */
  public FakeServer(Script script) throws IOException {
    listener = new ServerSocket(0, ACCEPT_BACKLOG, InetAddress.getLoopbackAddress());
    start(() -> acceptAll(script));
  }

  private void acceptAll(Script script) throws IOException {
    while (true) {
      Socket socket = listener.accept();
      openSockets.add(socket);
      Connection connection = new Connection(socket);
      connections.add(connection);
      start(() -> serve(script, connection, socket));
    }
  }

  private static void serve(Script script, Connection connection, Socket socket)
      throws IOException, InterruptedException {
    try (socket) {
      script.run(connection);
    } finally {
      connection.scriptEnded.countDown();
    }
  }

  private interface Task {
    void run() throws IOException, InterruptedException;
  }

  private static void start(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException | InterruptedException e) {
                // The connection or the server was closed: the test is over, or did so on purpose.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Starts a server that responds to every request alike. */
  public static FakeServer respondingWith(String response) throws IOException {
    return new FakeServer(
        connection -> {
          while (connection.readRequest() != null) {
            connection.write(response);
          }
        });
  }

  /** A complete response with status 200. */
  public static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Where it listens, as host:port. */
  public String address() {
    return "127.0.0.1:" + ((InetSocketAddress) listener.getLocalSocketAddress()).getPort();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : openSockets) {
      socket.close();
    }
  }

  /** Reads HTTP messages, of servers and of clients. */
  public static final class MessageReader {

    private static final String LENGTH = "content-length:";

    private MessageReader() {}

    /** The next message's head and body as they came; null at the end of the connection. */
    public static String read(InputStream in) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        int next = in.read();
        if (next < 0) {
          return null;
        }
        bytes.write(next);
      }
      for (String line : bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n", 0)) {
        if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
          int length = Integer.parseInt(line.substring(LENGTH.length()).trim());
          bytes.write(in.readNBytes(length));
        }
      }
      return bytes.toString(StandardCharsets.ISO_8859_1);
    }
  }

  /** A connection that was accepted. */
  public final class Connection {

    private final Socket socket;
    private final InputStream in;
    private final CountDownLatch scriptEnded = new CountDownLatch(1);

    /** Takes over a socket. */
    public Connection(Socket socket) throws IOException {
      this.socket = socket;
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Waits for a request; null once the other side has closed. */
    public String readRequest() throws IOException {
      String request = MessageReader.read(in);
      if (request != null) {
        requests.add(request);
      }
      return request;
    }

    /** Sends a text as it is. */
    public void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Reads until what was read ends with this text, or the other side closes. */
    public void readUntil(String end) throws IOException {
      StringBuilder read = new StringBuilder();
      while (!read.toString().endsWith(end)) {
        int next = in.read();
        if (next < 0) {
          return;
        }
        read.append((char) next);
      }
    }

    /** Closes the connection with a reset. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Waits until the script is through: its last read found the end, or it closed. */
    public boolean awaitScriptEnd() throws InterruptedException {
      return scriptEnded.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Waits until the other side closes; false if it sends more first, or is still there at the
     * time-out.
     */
    public boolean awaitClose() {
      try {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
        return in.read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        // Closed on this side too, or reset: over either way.
        return true;
      }
    }
  }
}
