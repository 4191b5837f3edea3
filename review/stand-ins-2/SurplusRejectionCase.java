import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Spoilt answers: upstreams turn some requests away, and behind that whole answer stands a second
 * copy of it that never ends. A request of a class that must never run twice may run at one
 * upstream at most.
 */
final class SurplusRejectionCase {

  private static final int CLIENTS = 6;
  private static final int REQUESTS_PER_CLIENT = 60;
  private static final int TURNED_AWAY_EVERY = 10;
  private static final String REASON = "the queue of this upstream is full";

  private SurplusRejectionCase() {}

  public static void main(String[] arguments) throws IOException {
    Lab.main(SurplusRejectionCase::run);
  }

  private static String run(Lab lab) throws Exception {
    Map<String, List<String>> runs = new ConcurrentHashMap<>();
    AtomicInteger arrived = new AtomicInteger();
    Upstream.Behaviour behaviour =
        (upstream, request, out, socket) -> {
          String id = request.traceId();
          if (arrived.incrementAndGet() % TURNED_AWAY_EVERY == 0) {
            String answer =
                "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: "
                    + REASON.length() + "\r\n\r\n" + REASON;
            if (Lab.TROUBLE) {
              // The same answer once more, without its last ten bytes, which never come.
              answer += answer.substring(0, answer.length() - 10);
            }
            lab.log(upstream.id + " turns " + id + " away" + (Lab.TROUBLE ? ", spoilt" : ""));
            Upstream.write(out, answer);
            return true;
          }
          runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(upstream.id);
          lab.log(upstream.id + " runs " + id);
          Lab.sleep(40);
          Upstream.write(out, Upstream.ok("reel " + id + " is published"));
          return true;
        };
    Discovery discovery = new Discovery(lab, "discovery", 41);
    for (int i = 0; i < 3; i++) {
      discovery.list(new Upstream("s-" + i, behaviour));
    }
    int port = Lab.freePort();
    Lab.Proxy proxy =
        lab.startProxy(port, discovery.port, discovery.wholeList(), Lab.settings("pushed"));

    AtomicInteger answered = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < CLIENTS; c++) {
      int number = c;
      clients.add(Upstream.daemon(() -> sendRequests(lab, port, number, answered)));
    }
    for (Thread client : clients) {
      client.join(60_000);
    }
    List<String> twice = new ArrayList<>();
    runs.forEach(
        (id, upstreams) -> {
          if (upstreams.size() > 1) {
            lab.log(id + " RAN at " + upstreams);
            twice.add(id);
          }
        });
    lab.log("answers " + answered.get() + ", run " + runs.size() + ", run twice " + twice.size());
    if (answered.get() < CLIENTS * REQUESTS_PER_CLIENT / 2 || !proxy.isAlive()) {
      throw new IOException("too few answers");
    }
    return twice.isEmpty()
        ? null
        : twice.size() + " requests of a class that must never run twice ran twice: " + twice;
  }

  private static void sendRequests(Lab lab, int port, int number, AtomicInteger answered)
      throws Exception {
    Client client = new Client(port, 1000);
    for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
      String id = String.format("%08x%08x", number + 1, i);
      Client.Answer answer =
          client.exchange(Client.request("reel-publish", id, "sid" + number, 6000), 7000);
      answered.incrementAndGet();
      lab.log("client " + number + " request " + id + " status " + answer.status);
      if ("close".equals(answer.headers.get("connection"))) {
        client.close();
        client = new Client(port, 1000);
      }
      Lab.sleep(30);
    }
  }
}
