package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** A fifth of the answers state no length, come whole, and end with the end of the connection. */
final class AnswersWithoutLength {

  private static final int CLIENTS = 12;
  private static final double SECONDS = 12;
  private static final double SHARE = 0.2;
  private static final int MILLIS = 3750;

  private AnswersWithoutLength() {}

  public static void main(String[] args) throws Exception {
    int status;
    try (Lab lab = new Lab(args[0])) {
      status = run(lab);
    } catch (Exception e) {
      e.printStackTrace();
      status = 2;
    }
    Lab.exit(status);
  }

  private static int run(Lab lab) throws Exception {
    // The bodies of the answers without a length that came whole, by the id of their request.
    Map<String, String> whole = new ConcurrentHashMap<>();
    Random random = new Random(1);
    List<Lab.Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      upstreams.add(
          lab.new Upstream(
              "s-" + i,
              "wdh-north",
              i % 2,
              (upstream, connection, out, request) -> {
                Lab.sleep(0.03);
                String body = "published " + request.id() + " at " + upstream.id;
                boolean lengthless;
                synchronized (random) {
                  lengthless = lab.trouble && random.nextDouble() < SHARE;
                }
                if (!lengthless) {
                  out.write(Lab.answer("200 OK", Lab.bytes(body)));
                  return;
                }
                out.write(Lab.bytes("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body));
                // The end of the stream, in order: all of the request has been read, so no reset.
                connection.shutdownOutput();
                connection.setSoTimeout(2000);
                // The balancer closes in order too: nothing that it had not read was thrown away.
                if (connection.getInputStream().read() < 0) {
                  whole.put(request.id(), body);
                  lab.log("upstream " + upstream.id + " whole without a length id=" + request.id());
                }
              }));
    }
    String list = Lab.list(41, true, Lab.entries(upstreams));
    Lab.Agent agent = lab.new Agent(list);
    Lab.Balancer balancer = lab.new Balancer("n0", agent, list, Lab.settings(0, 1));
    balancer.awaitReady();
    lab.say("ready");

    Lab.Counts counts = new Lab.Counts();
    Map<String, String> received = new ConcurrentHashMap<>();
    double end = lab.now() + SECONDS;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      threads.add(Lab.start(() -> publish(lab, balancer, number, end, counts, received)));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    Lab.sleep(0.5);
    int forwarded = 0;
    for (Map.Entry<String, String> answer : whole.entrySet()) {
      forwarded += answer.getValue().equals(received.get(answer.getKey())) ? 1 : 0;
    }
    lab.say("counts of final answers " + counts);
    lab.say("answers without a length that came whole=" + whole.size() + " forwarded=" + forwarded);
    if (2 * forwarded < whole.size()) {
      lab.say("BROKEN: fewer than half of them were forwarded");
      return 1;
    }
    if (received.isEmpty() || (lab.trouble && whole.size() < 50)) {
      return 2;
    }
    lab.say("held");
    return 0;
  }

  private static void publish(
      Lab lab,
      Lab.Balancer balancer,
      int number,
      double end,
      Lab.Counts counts,
      Map<String, String> received) {
    Lab.sleep(number * 0.02);
    try (Lab.Client client = lab.new Client(balancer.port)) {
      for (int k = 0; lab.now() < end; k++) {
        String id = "p-" + number + "-" + k;
        byte[] request =
            Lab.request("POST", "reel-publish", id, MILLIS, Lab.bytes("reel of " + id));
        Lab.Exchange exchange = client.exchange(id, request, MILLIS / 1e3 + 0.55, 0, 0);
        String seen =
            exchange.answer == null
                ? exchange.seen.toString()
                : Integer.toString(exchange.answer.status());
        counts.add(seen);
        if (exchange.isServed()) {
          received.put(id, exchange.answer.text());
        }
        lab.log(
            String.format(
                "client id=%s sent_at=%.4f ended_at=%.4f end=%s",
                id, exchange.sentAt, exchange.endedAt, seen));
        Lab.sleep(0.15);
      }
    }
  }
}
