import java.io.EOFException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients send several long requests at once on a connection. A request whose last byte was written
 * has to get an answer. Without the disruption the same clients send the same requests one after
 * another.
 */
final class QueuedLongRequestsCase {

  private static final int CLIENTS = 50;
  private static final int ROUNDS = 5;
  private static final int AT_ONCE = 6;
  private static final long PAUSE_MILLIS = 4000;
  private static final int BODY_BYTES = 60_000;

  /**
   * A request counts as lost only if it was written so long before the connection ended that its
   * end does not cross it.
   */
  private static final long NO_CROSSING_MILLIS = 100;

  private final AtomicInteger served = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failed = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger notCounted = new AtomicInteger();
  private final Lab lab;
  private final int port;

  private QueuedLongRequestsCase(Lab lab, int port) {
    this.lab = lab;
    this.port = port;
  }

  public static void main(String[] arguments) throws IOException {
    Lab.main(QueuedLongRequestsCase::run);
  }

  private static String run(Lab lab) throws Exception {
    Upstream.Behaviour behaviour =
        (upstream, request, out, socket) -> {
          Lab.sleep(100);
          Upstream.write(out, Upstream.ok("reel " + request.traceId() + " is published"));
          return true;
        };
    Discovery discovery = new Discovery(lab, "discovery", 41);
    for (int i = 0; i < 4; i++) {
      discovery.list(new Upstream("s-" + i, behaviour));
    }
    int port = Lab.freePort();
    Lab.Proxy proxy =
        lab.startProxy(port, discovery.port, discovery.wholeList(), Lab.settings("pushed"));
    QueuedLongRequestsCase requests = new QueuedLongRequestsCase(lab, port);
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < CLIENTS; c++) {
      int number = c;
      clients.add(Upstream.daemon(() -> requests.sendRounds(number)));
    }
    for (Thread client : clients) {
      client.join(80_000);
    }
    return requests.verdict(proxy);
  }

  private String verdict(Lab.Proxy proxy) throws IOException {
    lab.log(
        "served " + served.get() + ", refused " + refused.get() + ", failed " + failed.get()
            + ", lost " + lost.get() + ", unanswered and not counted " + notCounted.get());
    if (served.get() < 100 || !proxy.isAlive()) {
      throw new IOException("too few answers");
    }
    return lost.get() == 0
        ? null
        : lost.get() + " requests that were written whole got no answer before the load balancer"
            + " ended their connections in order";
  }

  private void sendRounds(int number) throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      List<String> ids = new ArrayList<>();
      for (int i = 0; i < AT_ONCE; i++) {
        ids.add(String.format("%08x%04x%04x", number + 1, round, i));
      }
      if (Lab.TROUBLE) {
        send(ids);
      } else {
        for (String id : ids) {
          send(List.of(id));
        }
      }
      Lab.sleep(PAUSE_MILLIS);
    }
  }

  /** Sends requests at once on a new connection and reads the answers to them. */
  private void send(List<String> ids) throws Exception {
    StringBuilder text = new StringBuilder();
    for (String id : ids) {
      text.append(
          "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id
              + "\r\nX-Qos: reel-publish\r\nX-Customer: nbc-sport\r\nCookie: sid=" + id
              + "\r\nX-Expires-In-Ms: 7500\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
              + "b".repeat(BODY_BYTES));
    }
    AtomicLong writtenNanos = new AtomicLong();
    int answered = 0;
    try (Client client = new Client(port, 2000)) {
      client.socket.setSoTimeout(9000);
      Upstream.daemon(
          () -> {
            client
                .socket
                .getOutputStream()
                .write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
            writtenNanos.set(System.nanoTime());
          });
      for (String id : ids) {
        Client.Answer answer = client.read();
        answered++;
        boolean isRefused = answer.status == 429 || answer.status == 503;
        (answer.status == 200 ? served : isRefused ? refused : failed).incrementAndGet();
        lab.log(id + " status " + answer.status);
      }
    } catch (IOException e) {
      long sinceMillis = (System.nanoTime() - writtenNanos.get()) / 1_000_000;
      boolean isLost =
          e instanceof EOFException && writtenNanos.get() > 0 && sinceMillis >= NO_CROSSING_MILLIS;
      (isLost ? lost : notCounted).addAndGet(ids.size() - answered);
      lab.log(
          (isLost ? "LOST " : "unanswered, not counted: ") + ids.subList(answered, ids.size())
              + (writtenNanos.get() > 0 ? " written " + sinceMillis + " ms before: " : " not all written: ")
              + e.getMessage());
    }
  }
}
