package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/** Some clients write forty short requests at once on a connection, and read the answers. */
final class ManyRequestsAtOnce {

  private static final int CLIENTS = 4;
  private static final int REQUESTS_AT_ONCE = 40;
  private static final int ROUNDS = 4;
  private static final int MILLIS = 4000;

  /** Half a second past its time a request is lost; each limit grows by 50 ms. */
  private static final double LOST_AFTER = 0.5 + 0.05;

  private ManyRequestsAtOnce() {}

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
    List<Lab.Upstream> upstreams = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      upstreams.add(
          lab.new Upstream(
              "s-" + i,
              "wdh-north",
              i % 3,
              (upstream, connection, out, request) -> {
                Lab.sleep(0.02);
                out.write(Lab.answer("200 OK", Lab.bytes("published " + request.id())));
              }));
    }
    String list = Lab.list(41, true, Lab.entries(upstreams));
    Lab.Agent agent = lab.new Agent(list);
    Lab.Balancer balancer = lab.new Balancer("n0", agent, list, Lab.settings(0, 1));
    balancer.awaitReady();
    lab.say("ready");

    Lab.Counts counts = new Lab.Counts();
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      int number = i;
      threads.add(
          Lab.start(
              () -> {
                for (int round = 0; round < ROUNDS; round++) {
                  publish(lab, balancer, number + "-" + round, counts);
                  Lab.sleep(1);
                }
              }));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    lab.say("counts " + counts);
    if (!balancer.process.isAlive() || counts.get("LOST") > 0) {
      lab.say("BROKEN: requests that the balancer had taken got no answer");
      return 1;
    }
    if (counts.get("200") == 0 || counts.get("not sent") > 0) {
      return 2;
    }
    lab.say("held");
    return 0;
  }

  private static void publish(Lab lab, Lab.Balancer balancer, String name, Lab.Counts counts) {
    List<String> ids = new ArrayList<>();
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (int k = 0; k < REQUESTS_AT_ONCE; k++) {
      String id = "p-" + name + "-" + k;
      ids.add(id);
      all.writeBytes(Lab.request("POST", "reel-publish", id, MILLIS, Lab.bytes("reel " + id)));
    }
    if (!lab.trouble) {
      try (Lab.Client client = lab.new Client(balancer.port)) {
        for (String id : ids) {
          byte[] request = Lab.request("POST", "reel-publish", id, MILLIS, Lab.bytes("reel " + id));
          Lab.Exchange exchange = client.exchange(id, request, MILLIS / 1e3 + LOST_AFTER, 0, 0);
          String end =
              exchange.answer != null
                  ? Integer.toString(exchange.answer.status())
                  : exchange.seen == Lab.Seen.NOT_SENT ? "not sent" : "LOST";
          counts.add(end);
          lab.log("client id=" + id + " end=" + end);
        }
      }
      return;
    }
    int answered = 0;
    String how;
    double sentAt = 0;
    try (Socket socket = Lab.connect(balancer.port)) {
      socket.getOutputStream().write(all.toByteArray());
      sentAt = lab.now();
      InputStream in = new BufferedInputStream(socket.getInputStream());
      how = "connection ended by the balancer, in order";
      // All requests were sent together, and so have the same time.
      double lostAt = sentAt + MILLIS / 1e3 + LOST_AFTER;
      while (answered < ids.size()) {
        socket.setSoTimeout((int) Math.max(1, 1e3 * (lostAt - lab.now())));
        Lab.Message answer = Lab.read(in);
        if (answer == null) {
          break;
        }
        counts.add(Integer.toString(answer.status()));
        lab.log("client id=" + ids.get(answered++) + " end=" + answer.status());
      }
    } catch (SocketTimeoutException e) {
      how = "time is over";
    } catch (IOException e) {
      if (sentAt == 0) {
        ids.forEach(id -> counts.add("not sent"));
        return;
      }
      how = "connection reset by the balancer";
    }
    for (String id : ids.subList(answered, ids.size())) {
      counts.add("LOST");
      lab.log(
          String.format(
              "client id=%s end=LOST, %.3f s after it was sent: %s", id, lab.now() - sentAt, how));
    }
  }
}
