package review;

import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** The stand-ins that the cases share: upstreams, the discovery agent, clients, the platform. */
final class Lab implements Closeable {

  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path root = Path.of("").toAbsolutePath(); // the repository: run.sh changes into it
  final Path temporary;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private final List<Process> processes = new CopyOnWriteArrayList<>();

  Lab(String caseFolder) throws IOException {
    record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")));
    temporary = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
    log("trouble=" + trouble);
  }

  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  synchronized void log(String line) {
    record.printf(Locale.ROOT, "%9.4f %s%n", now(), line);
  }

  /** Writes to the record and to the console. */
  void say(String line) {
    log(line);
    System.out.println(line);
  }

  private void endProcesses() {
    for (Process process : processes) {
      process.destroyForcibly();
    }
  }

  @Override
  public synchronized void close() throws IOException {
    endProcesses();
    for (Process process : processes) {
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    record.close();
    File[] files = temporary.toFile().listFiles();
    for (File file : files == null ? new File[0] : files) {
      File[] inner = file.listFiles();
      for (File f : inner == null ? new File[0] : inner) {
        f.delete();
      }
      file.delete();
    }
    Files.deleteIfExists(temporary);
  }

  /** The status of a broken rule, which run.sh turns into 1; Java itself ends with 1 if it fails. */
  private static final int BROKEN_STATUS = 10;

  /** Ends the driver: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  static void exit(int status) {
    System.exit(status == 1 ? BROKEN_STATUS : status);
  }

  static void sleep(double seconds) {
    try {
      if (seconds > 0) {
        TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread start(Runnable body) {
    Thread thread = new Thread(null, body, "stand-in", 256 << 10);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  // ---- Messages --------------------------------------------------------------------------------

  /** A message as read from a connection; headers by their names in lower case. */
  static final class Message {
    String firstLine;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    int status() {
      String[] words = firstLine.split(" ");
      return Integer.parseInt(words[1]);
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }

    String id() {
      return headers.get("x-trace-id");
    }
  }

  /** Reads one message that states its length; null at the end of the stream before it. */
  static Message read(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int b = in.read();
      if (b < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new IOException("ended within a head");
      }
      head.write(b);
      matched = b == "\r\n\r\n".charAt(matched) ? matched + 1 : b == '\r' ? 1 : 0;
    }
    String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    Message message = new Message();
    message.firstLine = lines[0];
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      message.headers.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
          lines[i].substring(colon + 1).trim());
    }
    int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
    message.body = in.readNBytes(length);
    if (message.body.length < length) {
      throw new IOException("ended within a body");
    }
    return message;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static byte[] concat(byte[] one, byte[] other) {
    byte[] all = new byte[one.length + other.length];
    System.arraycopy(one, 0, all, 0, one.length);
    System.arraycopy(other, 0, all, one.length, other.length);
    return all;
  }

  static byte[] answer(String status, byte[] body) {
    return concat(
        bytes("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length + "\r\n\r\n"), body);
  }

  static byte[] request(String method, String type, String id, int millis, byte[] body) {
    String length = method.equals("POST") ? "Content-Length: " + body.length + "\r\n" : "";
    return concat(
        bytes(
            method
                + " /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: "
                + id
                + "\r\nX-Qos: "
                + type
                + "\r\nX-Customer: nbc-sport\r\nX-Expires-In-Ms: "
                + millis
                + "\r\n"
                + length
                + "\r\n"),
        body);
  }

  // ---- Upstreams -------------------------------------------------------------------------------

  /** Answers one request, by writing to the connection, on the connection's own thread. */
  interface Behaviour {
    void serve(Upstream upstream, Socket connection, OutputStream out, Message request)
        throws IOException;
  }

  /** An upstream. It records each request that came whole. */
  final class Upstream {
    final String id;
    final String zone;
    final int cell;
    final ServerSocket listener = new ServerSocket();
    private final Behaviour behaviour;

    Upstream(String id, String zone, int cell, Behaviour behaviour) throws IOException {
      this.id = id;
      this.zone = zone;
      this.cell = cell;
      this.behaviour = behaviour;
      listener.bind(new InetSocketAddress(LOOPBACK, 0), 512);
      Lab.start(this::accept);
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = listener.accept();
          connection.setTcpNoDelay(true);
          Lab.start(() -> serve(connection));
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new java.io.BufferedInputStream(connection.getInputStream(), 1 << 16);
        OutputStream out = connection.getOutputStream();
        for (Message request = read(in); request != null; request = read(in)) {
          log("upstream " + id + " got id=" + request.id() + " bytes=" + request.body.length);
          behaviour.serve(this, connection, out, request);
          if (connection.isClosed() || connection.isOutputShutdown()) {
            return;
          }
        }
      } catch (IOException e) {
        // The balancer has given the attempt up.
      }
    }

    String entry(String phase) {
      return "{\"id\":\"" + id + "\",\"host_port\":\"127.0.0.1:" + listener.getLocalPort()
          + "\",\"locality\":\"" + zone + "\",\"flavor\":\"fast-2c\",\"cell\":" + cell
          + ",\"phase\":\"" + phase + "\",\"size\":1.0,\"up_since_ms\":0}";
    }
  }

  static String list(long revision, boolean complete, List<String> entries) {
    return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":["
        + String.join(",", entries) + "]}";
  }

  static List<String> entries(List<Upstream> upstreams) {
    List<String> entries = new ArrayList<>();
    upstreams.forEach(upstream -> entries.add(upstream.entry("ready")));
    return entries;
  }

  // ---- Discovery -------------------------------------------------------------------------------

  /** The agent of one machine: it answers a watch with the whole list, then with empty lines. */
  final class Agent {
    final ServerSocket listener = new ServerSocket();
    private final String list;

    Agent(String list) throws IOException {
      this.list = list;
      listener.bind(new InetSocketAddress(LOOPBACK, 0), 64);
      Lab.start(this::accept);
    }

    private void accept() {
      try {
        while (true) {
          Socket connection = listener.accept();
          Lab.start(() -> serve(connection));
        }
      } catch (IOException e) {
        // Closed.
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        OutputStream out = connection.getOutputStream();
        Message call = read(connection.getInputStream());
        if (call == null) {
          return;
        }
        if (!call.firstLine.contains("follow=1")) {
          out.write(answer("200 OK", bytes(list)));
          return;
        }
        out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        byte[] line = bytes(list + "\n");
        out.write(
            concat(bytes(Integer.toHexString(line.length) + "\r\n"), concat(line, bytes("\r\n"))));
        while (true) {
          sleep(2);
          out.write(bytes("1\r\n\n\r\n"));
        }
      } catch (IOException e) {
        // The balancer has closed the watch.
      }
    }
  }

  // ---- The balancer ----------------------------------------------------------------------------

  /** The settings of the cases: three classes, as on the site, and pushed lists. */
  static String settings(int me, int groupSize) {
    return "{\"me\":" + me + ",\"group-size\":" + groupSize
        + ",\"zone\":\"wdh-north\",\"areas\":[\"wdh-north\"],\"registry-mode\":\"pushed\","
        + "\"categories\":["
        + "{\"name\":\"clip-fetch\",\"effect\":\"idempotent\",\"dedup-scope\":\"all\","
        + "\"window-ns\":5000000000,\"aim-ns\":600000000,\"deadline-ns\":2000000000,\"gain\":3.0},"
        + "{\"name\":\"reel-publish\",\"effect\":\"at_most_once\",\"dedup-scope\":\"all\","
        + "\"window-ns\":5000000000,\"aim-ns\":2000000000,\"deadline-ns\":7500000000,\"gain\":5.0},"
        + "{\"name\":\"clip-cut\",\"effect\":\"deduplicated\",\"dedup-scope\":\"zone\","
        + "\"window-ns\":7500000000,\"aim-ns\":2000000000,\"deadline-ns\":4000000000,\"gain\":3.0}],"
        + "\"projects\":[{\"name\":\"nbc-sport\",\"portion\":1.0,\"quota-per-s\":100000.0}],"
        + "\"limits\":{\"cancel\":true,\"probing\":true,\"peers\":false,\"second-copies\":true,"
        + "\"retry-after\":true,\"max-retry-after-ns\":2500000000,\"max-attempts\":5,"
        + "\"connect-timeout-ns\":250000000,\"conn-idle-ns\":15000000000,\"most-held\":20000,"
        + "\"multiplex\":1},"
        + "\"contract\":{\"answer-slack-ns\":20000000,\"ask-within-ns\":10000000000,"
        + "\"cold-from\":0.14,\"drain-grace-ns\":500000000,\"fall-multiple\":2.5,"
        + "\"overload-for-ns\":2000000000,\"warm-within-ns\":22000000000},"
        + "\"domain\":{\"warm-keys\":false},\"weight-kind\":\"none\",\"resolution-ns\":5000000}";
  }

  /** One process of the balancer, started with the command of the deploy file. */
  final class Balancer {
    final int port;
    final Process process;

    Balancer(String name, Agent agent, String known, String settings) throws IOException {
      port = freePort();
      String discovery = "127.0.0.1:" + agent.listener.getLocalPort();
      String config = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port
          + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\n"
          + "\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\n"
          + "\"known\":" + known + ",\n\"settings\":" + settings + "}\n";
      Path file = temporary.resolve(name + ".json");
      Files.writeString(file, config);
      Path ownTemporary = Files.createDirectory(temporary.resolve(name));
      ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand());
      builder.directory(root.toFile());
      builder.environment().put("ROUTER_NAME", name);
      builder.environment().put("ROUTER_LISTEN", "127.0.0.1:" + port);
      builder.environment().put("ROUTER_DISCOVERY", discovery);
      builder.environment().put("ROUTER_CONFIG", file.toString());
      builder.environment().put("TMPDIR", ownTemporary.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ownTemporary.resolve("log").toFile());
      process = builder.start();
      processes.add(process);
    }

    /** Waits until health checks pass, for 30 s at most. */
    void awaitReady() throws IOException {
      double end = now() + 30;
      while (now() < end) {
        try (Socket socket = connect(port)) {
          socket.setSoTimeout(1000);
          socket.getOutputStream().write(bytes("GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n"));
          Message reply = read(socket.getInputStream());
          if (reply != null && reply.status() == 200) {
            return;
          }
        } catch (IOException e) {
          // Not listening yet.
        }
        sleep(0.05);
      }
      throw new IOException("a balancer was not ready within 30 s");
    }

    /** Copies the balancer's log lines that contain a text to the record, the first ones only. */
    void logLines(String name, String text, int most) throws IOException {
      long count = 0;
      for (String line : Files.readAllLines(temporary.resolve(name).resolve("log"))) {
        if (line.contains(text) && count++ < most) {
          log("balancer " + name + " logged: " + line);
        }
      }
      log("balancer " + name + " logged lines with \"" + text + "\": " + count);
    }
  }

  private String runCommand() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
      if (line.startsWith("run = \"")) {
        return line.substring("run = \"".length(), line.indexOf('"', "run = \"".length()));
      }
    }
    throw new IOException("no run command in the deploy file");
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(LOOPBACK, 0));
      return socket.getLocalPort();
    }
  }

  static Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress(LOOPBACK, port), 1000);
    return socket;
  }

  // ---- Clients ---------------------------------------------------------------------------------

  /** What a client saw of one request. */
  enum Seen {
    ANSWERED,
    /** No answer came, and the connection stayed open. */
    NOTHING,
    /** The connection was closed or reset without a whole answer. */
    CLOSED,
    /** The connection was closed or refused before the request was written. */
    NOT_SENT
  }

  /** One request of a client and its end. */
  static final class Exchange {
    String id;
    Seen seen;
    Message answer;
    double sentAt; // the last byte was written
    double endedAt;

    boolean isServed() {
      return seen == Seen.ANSWERED && answer.status() == 200;
    }
  }

  /** A client with one connection, which it keeps; it sends one request at a time. */
  final class Client implements Closeable {
    private final int port;
    private Socket socket;

    Client(int port) {
      this.port = port;
    }

    /** Writes a request and waits for its answer for so many seconds from the last byte. */
    Exchange exchange(String id, byte[] request, double wait, int piece, double gap) {
      Exchange exchange = new Exchange();
      exchange.id = id;
      exchange.seen = Seen.NOT_SENT;
      try {
        if (socket == null) {
          socket = connect(port);
        }
        OutputStream out = socket.getOutputStream();
        java.util.Random random = new java.util.Random(id.hashCode());
        for (int from = 0; from < request.length; ) {
          int most = piece <= 0 ? request.length : piece / 8 + random.nextInt(piece - piece / 8);
          int count = Math.min(request.length - from, most);
          out.write(request, from, count);
          from += count;
          if (piece > 0 && from < request.length) {
            sleep(gap);
          }
        }
        exchange.sentAt = now();
        exchange.seen = Seen.CLOSED;
        socket.setSoTimeout((int) (wait * 1000));
        exchange.answer = read(socket.getInputStream());
        if (exchange.answer != null) {
          exchange.seen = Seen.ANSWERED;
        }
      } catch (SocketTimeoutException e) {
        exchange.seen = Seen.NOTHING;
      } catch (IOException e) {
        // Keeps what has been seen up to now.
      }
      exchange.endedAt = now();
      boolean keep =
          exchange.seen == Seen.ANSWERED
              && !"close".equalsIgnoreCase(exchange.answer.headers.get("connection"));
      if (!keep) {
        close();
      }
      return exchange;
    }

    @Override
    public void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // It is closed.
      }
      socket = null;
    }
  }

  /** Counts by name. */
  static final class Counts {
    private final Map<String, Integer> counts = new java.util.TreeMap<>();

    synchronized void add(String name) {
      counts.merge(name, 1, Integer::sum);
    }

    synchronized int get(String name) {
      return counts.getOrDefault(name, 0);
    }

    @Override
    public synchronized String toString() {
      return counts.toString();
    }
  }
}
