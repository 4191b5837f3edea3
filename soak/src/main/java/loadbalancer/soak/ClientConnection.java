package loadbalancer.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** A client's connection to a proxy, on a blocking socket. Callers determine every byte sent. */
final class ClientConnection implements AutoCloseable {

  /** The result of waiting for a response. */
  enum End {
    /** A complete response was received. */
    RESPONSE,
    /** The connection was closed or reset before a complete response. */
    CLOSED,
    /** No complete response was received in time. */
    TIMEOUT
  }

  /**
   * The result of a request.
   *
   * @param status the status code; 0 if no complete response was received
   */
  record Response(End end, int status, String body, boolean keepAlive) {}

  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final String LENGTH = "content-length:";

  private final Socket socket = new Socket();
  private final InputStream in;

  /** Connects to a port of the loopback interface. */
  ClientConnection(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Sends a text unchanged. */
  void write(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Half-closes the connection. Responses can still be read. */
  void shutDownOutput() throws IOException {
    socket.shutdownOutput();
  }

  /** Waits for a response until a value of {@link System#nanoTime()}. */
  Response read(long untilNanos) {
    try {
      String head = readHead(untilNanos);
      if (head == null) {
        return new Response(End.CLOSED, 0, "", false);
      }
      byte[] body = new byte[contentLength(head)];
      for (int i = 0; i < body.length; i++) {
        int next = readByte(untilNanos);
        if (next < 0) {
          return new Response(End.CLOSED, 0, "", false);
        }
        body[i] = (byte) next;
      }
      int status = Integer.parseInt(head.split(" ", 3)[1]);
      boolean keepAlive = !head.toLowerCase(Locale.ROOT).contains("connection: close");
      return new Response(
          End.RESPONSE, status, new String(body, StandardCharsets.ISO_8859_1), keepAlive);
    } catch (SocketTimeoutException e) {
      return new Response(End.TIMEOUT, 0, "", false);
    } catch (IOException e) {
      return new Response(End.CLOSED, 0, "", false);
    }
  }

  private String readHead(long untilNanos) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int next = readByte(untilNanos);
      if (next < 0) {
        return null;
      }
      bytes.write(next);
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  private int readByte(long untilNanos) throws IOException {
    if (in.available() == 0) {
      long left = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
      if (left <= 0) {
        throw new SocketTimeoutException();
      }
      socket.setSoTimeout((int) left);
    }
    return in.read();
  }

  private static int contentLength(String head) {
    for (String line : head.split("\r\n", 0)) {
      if (line.toLowerCase(Locale.ROOT).startsWith(LENGTH)) {
        return Integer.parseInt(line.substring(LENGTH.length()).trim());
      }
    }
    return 0;
  }

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
