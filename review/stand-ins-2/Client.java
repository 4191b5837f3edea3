import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection, with one request at a time. */
final class Client implements AutoCloseable {

  /** A complete answer. */
  static final class Answer {
    int status;
    final Map<String, String> headers = new LinkedHashMap<>();
    String body = "";
  }

  final Socket socket;
  private final InputStream in;

  Client(int port, int connectMillis) throws IOException {
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(Lab.LOOPBACK, port), connectMillis);
    in = socket.getInputStream();
  }

  /** Returns a request in the form of the protocol page. */
  static String request(String requestClass, String traceId, String sid, int millis) {
    boolean isGet = requestClass.equals("clip-fetch");
    String body = isGet ? "" : "order " + traceId;
    return (isGet ? "GET" : "POST")
        + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + traceId
        + "\r\nX-Qos: " + requestClass
        + "\r\nX-Customer: nbc-sport\r\nCookie: sid=" + sid
        + "\r\nX-Expires-In-Ms: " + millis
        + (requestClass.equals("clip-cut") ? "\r\nIdempotency-Key: k" + traceId : "")
        + (isGet ? "" : "\r\nContent-Length: " + body.length())
        + "\r\n\r\n" + body;
  }

  /** Sends a request and reads the answer to it. */
  Answer exchange(String request, int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return read();
  }

  Answer read() throws IOException {
    Answer answer = new Answer();
    answer.status = Integer.parseInt(line().split(" ")[1]);
    for (String line = line(); !line.isEmpty(); line = line()) {
      int colon = line.indexOf(':');
      answer.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    String length = answer.headers.get("content-length");
    if (length != null) {
      answer.body = text(Integer.parseInt(length));
    } else if ("chunked".equalsIgnoreCase(answer.headers.get("transfer-encoding"))) {
      StringBuilder body = new StringBuilder();
      for (int size = chunkSize(); size > 0; size = chunkSize()) {
        body.append(text(size));
        line();
      }
      line();
      answer.body = body.toString();
    }
    return answer;
  }

  private int chunkSize() throws IOException {
    return Integer.parseInt(line().split(";")[0].trim(), 16);
  }

  private String text(int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the answer ended early");
    }
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  private String line() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
