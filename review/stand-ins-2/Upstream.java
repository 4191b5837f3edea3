import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** An upstream as on the protocol page: it begins a request when the request's last byte has come. */
final class Upstream {

  /** A request that has arrived. */
  static final class Request {
    String method;
    final Map<String, String> headers = new LinkedHashMap<>();
    String body = "";
    long firstByteNanos;

    String traceId() {
      return headers.get("x-trace-id");
    }
  }

  /** Answers a request by writing to the connection. Returns false to close the connection. */
  interface Behaviour {
    boolean answer(Upstream upstream, Request request, OutputStream out, Socket socket)
        throws Exception;
  }

  final String id;
  final int port;
  private final Behaviour behaviour;

  Upstream(String id, Behaviour behaviour) throws IOException {
    this.id = id;
    this.behaviour = behaviour;
    ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName(Lab.LOOPBACK));
    port = listener.getLocalPort();
    daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            daemon(() -> serve(socket));
          }
        });
  }

  /** A step that may throw. */
  interface Step {
    void run() throws Exception;
  }

  static Thread daemon(Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (Exception e) {
                // The connection has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      boolean open = true;
      while (open) {
        Request request = read(in);
        open = behaviour.answer(this, request, socket.getOutputStream(), socket);
      }
    }
  }

  private static Request read(InputStream in) throws IOException {
    Request request = new Request();
    in.mark(1);
    if (in.read() < 0) {
      throw new EOFException();
    }
    request.firstByteNanos = System.nanoTime();
    in.reset();
    request.method = line(in).split(" ")[0];
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      request.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(request.headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException();
    }
    request.body = new String(body, StandardCharsets.ISO_8859_1);
    return request;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  /** Returns the text of an answer with status 200. */
  static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: TEXT util=0.2, eps=0.0, queue=0\r\n"
        + "Content-Length: " + body.length() + "\r\n\r\n" + body;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }
}
