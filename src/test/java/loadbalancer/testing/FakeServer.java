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
 * A server on loopback that acts as an upstream or a discovery agent. Each connection runs a
 * script, on a thread of its own, that determines every byte that is sent.
 */
public final class FakeServer implements AutoCloseable {

  private static final int ACCEPT_BACKLOG = 50;

  /** The behavior of a connection, which is closed when the script returns. */
  public interface Script {
    void run(Connection connection) throws IOException, InterruptedException;
  }

  /** All requests that have been read completely, in the order of their completion. */
  public final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

  /** All accepted connections, in order. */
  public final BlockingQueue<Connection> connections = new LinkedBlockingQueue<>();

  private final List<Socket> openSockets = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;

  /** Starts a server on an ephemeral port. */
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
                // The connection or the server was closed, by the test or at its end.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Starts a server that sends the same response to every request. */
  public static FakeServer respondingWith(String response) throws IOException {
    return new FakeServer(
        connection -> {
          while (connection.readRequest() != null) {
            connection.write(response);
          }
        });
  }

  /** Returns a complete response with status 200. */
  public static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  /** Returns the address of the server, as host:port. */
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

  /** Reader of HTTP messages from servers and clients. */
  public static final class MessageReader {

    private static final String CONTENT_LENGTH_PREFIX = "content-length:";

    private MessageReader() {}

    /**
     * Returns the head and body of the next message as received, or null at the end of the
     * connection.
     */
    public static String read(InputStream in) throws IOException {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
        int nextByte = in.read();
        if (nextByte < 0) {
          return null;
        }
        bytes.write(nextByte);
      }
      for (String line : bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n", 0)) {
        if (line.toLowerCase(Locale.ROOT).startsWith(CONTENT_LENGTH_PREFIX)) {
          int length = Integer.parseInt(line.substring(CONTENT_LENGTH_PREFIX.length()).trim());
          bytes.write(in.readNBytes(length));
        }
      }
      return bytes.toString(StandardCharsets.ISO_8859_1);
    }
  }

  /** An accepted connection. */
  public final class Connection {

    private final Socket socket;
    private final InputStream in;
    private final CountDownLatch scriptEnded = new CountDownLatch(1);

    /** Wraps the socket of the connection. */
    public Connection(Socket socket) throws IOException {
      this.socket = socket;
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Waits for a request. Returns null once the peer has closed the connection. */
    public String readRequest() throws IOException {
      String request = MessageReader.read(in);
      if (request != null) {
        requests.add(request);
      }
      return request;
    }

    /** Sends a text unchanged. */
    public void write(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Reads until the input ends with this text, or the peer closes the connection. */
    public void readUntil(String suffix) throws IOException {
      StringBuilder received = new StringBuilder();
      while (!received.toString().endsWith(suffix)) {
        int nextByte = in.read();
        if (nextByte < 0) {
          return;
        }
        received.append((char) nextByte);
      }
    }

    /** Closes the connection with a reset. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /**
     * Waits until the connection's script has returned. Returns false if it has not returned at the
     * timeout.
     */
    public boolean awaitScriptEnd() throws InterruptedException {
      return scriptEnded.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    /**
     * Waits until the peer closes the connection. Returns false if it sends more first, or has not
     * closed at the timeout.
     */
    public boolean awaitClose() {
      try {
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
        return in.read() < 0;
      } catch (SocketTimeoutException e) {
        return false;
      } catch (IOException e) {
        // The connection was reset, or has been closed on this side; it has ended in both cases.
        return true;
      }
    }
  }
}
