import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Spoilt answers: behind some whole answers stands a second answer that never ends. Every answer
 * with status 200 that a client gets has to be the body that an upstream made for its request.
 */
final class SurplusAnswerCase {

  private static final int CLIENTS = 6;
  private static final int REQUESTS_PER_CLIENT = 60;
  private static final int SPOILT_EVERY = 10;

  private SurplusAnswerCase() {}

  public static void main(String[] arguments) throws IOException {
    Lab.main(SurplusAnswerCase::run);
  }

  private static String run(Lab lab) throws Exception {
    Map<String, String> madeBodies = new ConcurrentHashMap<>();
    Set<String> spoilt = ConcurrentHashMap.newKeySet();
    AtomicInteger count = new AtomicInteger();
    Upstream.Behaviour behaviour =
        (upstream, request, out, socket) -> {
          Lab.sleep(40);
          String body = "replay of " + request.traceId() + " by " + upstream.id + ", 1234567890";
          madeBodies.put(request.traceId(), body);
          String answer = Upstream.ok(body);
          if (Lab.TROUBLE && count.incrementAndGet() % SPOILT_EVERY == 0) {
            // The same answer once more, without its last ten bytes, which never come.
            spoilt.add(request.traceId());
            lab.log(upstream.id + " spoils the answer to " + request.traceId());
            answer += answer.substring(0, answer.length() - 10);
          }
          Upstream.write(out, answer);
          return true;
        };
    Discovery discovery = new Discovery(lab, "discovery", 41);
    for (int i = 0; i < 3; i++) {
      discovery.list(new Upstream("s-" + i, behaviour));
    }
    int port = Lab.freePort();
    Lab.Proxy proxy =
        lab.startProxy(port, discovery.port, discovery.wholeList(), Lab.settings("pushed"));

    List<String> wrong = new ArrayList<>();
    AtomicInteger answered = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int c = 0; c < CLIENTS; c++) {
      int number = c;
      clients.add(
          Upstream.daemon(
              () -> {
                Client client = new Client(port, 1000);
                for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                  String id = String.format("%08x%08x", number + 1, i);
                  Client.Answer answer =
                      client.exchange(
                          Client.request("clip-fetch", id, "sid" + number, 2000), 3000);
                  answered.incrementAndGet();
                  boolean isWrong =
                      answer.status == 200 && !answer.body.equals(madeBodies.get(id));
                  lab.log(
                      "client " + number + " request " + id + " status " + answer.status
                          + (isWrong ? " WRONG BODY [" + printable(answer.body) + "]" : ""));
                  if (isWrong) {
                    synchronized (wrong) {
                      wrong.add(id);
                    }
                  }
                  if ("close".equals(answer.headers.get("connection"))) {
                    client.close();
                    client = new Client(port, 1000);
                  }
                  Lab.sleep(30);
                }
              }));
    }
    for (Thread client : clients) {
      client.join(60_000);
    }
    lab.log("answers " + answered.get() + ", spoilt " + spoilt.size() + ", wrong " + wrong.size());
    if (answered.get() < CLIENTS * REQUESTS_PER_CLIENT / 2 || !proxy.isAlive()) {
      throw new IOException("too few answers");
    }
    return wrong.isEmpty()
        ? null
        : wrong.size() + " answers with status 200 are not what an upstream made for the request: "
            + wrong;
  }

  private static String printable(String text) {
    return text.replace("\r", "\\r").replace("\n", "\\n");
  }
}
