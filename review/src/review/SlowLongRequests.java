package review;

import java.util.ArrayList;
import java.util.List;

/** Case 1: some clients write long requests slowly, beside clients with short requests. */
final class SlowLongRequests {

  private static final int SLOW_CLIENTS = 120;
  private static final int SHORT_CLIENTS = 200;
  private static final int BODY_BYTES = 60 * 1024;
  private static final int LARGEST_PIECE = 4000;
  private static final double PIECE_GAP = 0.05;
  private static final double SECONDS = 15;
  private static final int SHORT_MILLIS = 1000;
  private static final int LONG_MILLIS = 3750;

  /** Half a second past its time a request is lost; each limit grows by 50 ms. */
  private static final double LOST_AFTER = 0.5 + 0.05;

  private SlowLongRequests() {}

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
                Lab.sleep(0.08);
                out.write(Lab.answer("200 OK", Lab.bytes("clip of " + request.id())));
              }));
    }
    String list = Lab.list(41, true, Lab.entries(upstreams));
    Lab.Agent agent = lab.new Agent(list);
    Lab.Balancer balancer = lab.new Balancer("n0", agent, list, Lab.settings(0, 1));
    balancer.awaitReady();
    lab.say("ready");

    Lab.Counts counts = new Lab.Counts();
    double end = lab.now() + SECONDS;
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < SLOW_CLIENTS; i++) {
      int number = i;
      threads.add(Lab.start(() -> longRequests(lab, balancer, number, end, counts)));
    }
    for (int i = 0; i < SHORT_CLIENTS; i++) {
      int number = i;
      threads.add(Lab.start(() -> shortRequests(lab, balancer, number, end, counts)));
    }
    for (Thread thread : threads) {
      thread.join();
    }
    balancer.logLines("n0", "OutOfMemoryError", 3);
    balancer.logLines("n0", "max_loop_lag_ms", 30);
    lab.say("counts " + counts);
    boolean crashed = !balancer.process.isAlive();
    int lost = counts.get("short LOST") + counts.get("long LOST");
    int served = counts.get("short 200") + counts.get("long 200");
    lab.say("lost=" + lost + " served=" + served + " crashed=" + crashed);
    if (crashed || lost > 0) {
      lab.say("BROKEN: requests that the balancer had taken were never answered");
      return 1;
    }
    lab.say("held");
    return served > 0 ? 0 : 2;
  }

  private static void longRequests(
      Lab lab, Lab.Balancer balancer, int number, double end, Lab.Counts counts) {
    Lab.sleep(number * 0.007);
    byte[] body = new byte[BODY_BYTES];
    double duration = PIECE_GAP * BODY_BYTES / (LARGEST_PIECE * 9.0 / 16);
    try (Lab.Client client = lab.new Client(balancer.port)) {
      for (int k = 0; lab.now() < end; k++) {
        String id = "long-" + number + "-" + k;
        byte[] request = Lab.request("POST", "reel-publish", id, LONG_MILLIS, body);
        if (!lab.trouble) {
          Lab.sleep(duration); // The same rate of requests, each written at once.
        }
        int piece = lab.trouble ? LARGEST_PIECE : 0;
        judge(
            lab,
            "long",
            client.exchange(id, request, LONG_MILLIS / 1e3 + LOST_AFTER, piece, PIECE_GAP),
            counts);
      }
    }
  }

  private static void shortRequests(
      Lab lab, Lab.Balancer balancer, int number, double end, Lab.Counts counts) {
    Lab.sleep(number * 0.01);
    try (Lab.Client client = lab.new Client(balancer.port)) {
      for (int k = 0; lab.now() < end; k++) {
        String id = "short-" + number + "-" + k;
        byte[] request = Lab.request("GET", "clip-fetch", id, SHORT_MILLIS, new byte[0]);
        judge(
            lab,
            "short",
            client.exchange(id, request, SHORT_MILLIS / 1e3 + LOST_AFTER, 0, 0),
            counts);
        Lab.sleep(2);
      }
    }
  }

  /** Only a request whose connection stays open without an answer past its time is counted lost. */
  private static void judge(Lab lab, String kind, Lab.Exchange exchange, Lab.Counts counts) {
    String end =
        switch (exchange.seen) {
          case ANSWERED -> Integer.toString(exchange.answer.status());
          case NOTHING -> "LOST";
          case CLOSED -> "closed";
          case NOT_SENT -> "not sent";
        };
    counts.add(kind + " " + end);
    lab.log(
        String.format(
            "client id=%s sent_at=%.4f ended_at=%.4f end=%s",
            exchange.id, exchange.sentAt, exchange.endedAt, end));
  }
}
