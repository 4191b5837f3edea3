import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Discovery as on the protocol page: the whole list on request, and watches that tell changes. */
final class Discovery {

  final int port;
  private final Lab lab;
  private final String name;
  private final Map<String, String> phases = new LinkedHashMap<>();
  private final Map<String, Integer> ports = new LinkedHashMap<>();
  private final Map<String, Long> changedAt = new LinkedHashMap<>();
  private final List<Socket> open = new ArrayList<>();
  private long revision;
  private long toldRevision = -1;
  private long toldNanos;

  /** The time for which a call waits in turn before it is answered. */
  volatile long answerDelayMillis;

  /** True if the first answer to a call is the whole list, which leaves out upstreams that drain. */
  volatile boolean answersWholeList;

  Discovery(Lab lab, String name, long revision) throws IOException {
    this.lab = lab;
    this.name = name;
    this.revision = revision;
    ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName(Lab.LOOPBACK));
    port = listener.getLocalPort();
    Upstream.daemon(
        () -> {
          while (true) {
            Socket socket = listener.accept();
            Upstream.daemon(() -> serve(socket));
          }
        });
  }

  /** Lists an upstream as ready, without a new revision; for the list before the start. */
  synchronized void list(Upstream upstream) {
    phases.put(upstream.id, "ready");
    ports.put(upstream.id, upstream.port);
    changedAt.put(upstream.id, revision);
  }

  /** Changes the phase of upstreams, as one new revision. */
  synchronized void change(String phase, Upstream... upstreams) {
    revision++;
    for (Upstream upstream : upstreams) {
      phases.put(upstream.id, phase);
      ports.put(upstream.id, upstream.port);
      changedAt.put(upstream.id, revision);
      lab.log(name + " revision " + revision + ": " + upstream.id + " is " + phase);
    }
    notifyAll();
  }

  /** Changes the phase of upstreams; open watches end in order instead of telling it. */
  synchronized void changeAndEndWatches(String phase, Upstream... upstreams) throws IOException {
    change(phase, upstreams);
    lab.log(name + " ends " + open.size() + " open watches");
    for (Socket socket : open) {
      socket.close();
    }
    open.clear();
  }

  /** Waits until a list or a change of the latest revision has been written, and returns when. */
  synchronized long awaitTold(long millis) throws Exception {
    long limit = System.nanoTime() + millis * 1_000_000;
    while (toldRevision < revision) {
      long left = (limit - System.nanoTime()) / 1_000_000;
      if (left <= 0) {
        throw new IOException("the load balancer did not ask " + name + " in time");
      }
      wait(left);
    }
    return toldNanos;
  }

  private synchronized void told(long newRevision, String list) {
    lab.log(name + " tells " + list);
    if (newRevision > toldRevision) {
      toldRevision = newRevision;
      toldNanos = System.nanoTime();
      notifyAll();
    }
  }

  synchronized String wholeList() {
    return list(-1, true);
  }

  private String list(long since, boolean whole) {
    StringBuilder members = new StringBuilder();
    for (String id : phases.keySet()) {
      boolean left = whole && !phases.get(id).equals("ready") && answersWholeList;
      boolean gone = whole && phases.get(id).equals("gone");
      if (changedAt.get(id) > since && !left && !gone) {
        members
            .append(members.length() == 0 ? "" : ",")
            .append("{\"id\":\"" + id + "\",\"host_port\":\"" + Lab.LOOPBACK + ":" + ports.get(id))
            .append("\",\"locality\":\"wdh-north\",\"flavor\":\"fast-2c\",\"cell\":0,\"phase\":\"")
            .append(phases.get(id) + "\",\"size\":1.0,\"up_since_ms\":0}");
      }
    }
    return "{\"revision\":" + revision + ",\"complete\":" + whole + ",\"members\":[" + members + "]}";
  }

  private void serve(Socket socket) throws Exception {
    try (socket) {
      socket.setTcpNoDelay(true);
      synchronized (this) {
        open.add(socket);
      }
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String target = in.readLine().split(" ")[1];
      for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
        // The headers tell nothing.
      }
      lab.log(name + " is called: " + target);
      Lab.sleep(answerDelayMillis);
      if (target.contains("follow=1")) {
        follow(socket.getOutputStream(), Long.parseLong(target.replaceAll(".*since=", "")));
      } else {
        String list = wholeList();
        Upstream.write(
            socket.getOutputStream(),
            "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
      }
    }
  }

  private void follow(OutputStream out, long since) throws Exception {
    Upstream.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    long written;
    String first;
    synchronized (this) {
      // A watch from a version that this discovery does not have gets the whole list.
      boolean whole = answersWholeList || since <= 0 || since > revision;
      first = list(whole ? -1 : since, whole);
      written = revision;
    }
    chunk(out, first + "\n");
    told(written, first);
    while (true) {
      String change = null;
      synchronized (this) {
        long end = System.nanoTime() + 2_000_000_000L;
        for (long left = 2000; revision == written && left > 0; ) {
          wait(left);
          left = (end - System.nanoTime()) / 1_000_000;
        }
        if (revision > written) {
          change = list(written, false);
          written = revision;
        }
      }
      chunk(out, change == null ? "\n" : change + "\n");
      if (change != null) {
        told(written, change);
      }
    }
  }

  private static void chunk(OutputStream out, String text) throws IOException {
    Upstream.write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }
}
