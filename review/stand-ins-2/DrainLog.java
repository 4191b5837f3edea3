import java.io.IOException;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** What upstreams got, and the clients that send: the common part of the cases on the drain rule. */
final class DrainLog {

  private record Send(String upstream, String traceId, long firstByteNanos) {}

  final List<Send> sends = new CopyOnWriteArrayList<>();
  final AtomicInteger served = new AtomicInteger();
  final AtomicInteger answered = new AtomicInteger();
  private final Lab lab;

  DrainLog(Lab lab) {
    this.lab = lab;
  }

  /** Returns the behaviour of an upstream that serves all that it gets and records it. */
  Upstream.Behaviour serving() {
    return (upstream, request, out, socket) -> {
      sends.add(new Send(upstream.id, request.traceId(), request.firstByteNanos));
      Lab.sleep(40);
      Upstream.write(out, Upstream.ok("replay of " + request.traceId()));
      return true;
    };
  }

  /** Starts clients, each with one connection and some 10 requests a second. */
  void startClients(int count, int port) {
    for (int c = 0; c < count; c++) {
      int number = c;
      Upstream.daemon(() -> sendRequests(port, number));
    }
  }

  private void sendRequests(int port, int number) throws Exception {
    Client client = new Client(port, 1000);
    for (int i = 0; ; i++) {
      String id = String.format("%08x%08x", number + 1, i);
      String sid = "sid" + (number + 7 * i) % 40;
      Client.Answer answer = client.exchange(Client.request("clip-fetch", id, sid, 2000), 3000);
      answered.incrementAndGet();
      served.addAndGet(answer.status == 200 ? 1 : 0);
      lab.log("client " + number + " request " + id + " status " + answer.status);
      if ("close".equals(answer.headers.get("connection"))) {
        client.close();
        client = new Client(port, 1000);
      }
      Lab.sleep(60);
    }
  }

  /**
   * Returns what broke the rule that nothing new goes to upstreams once a limit has passed, or null.
   *
   * @param toldNanos when the change was told or counted as told
   */
  String check(List<String> upstreams, long toldNanos, long limitMillis, String since)
      throws IOException {
    int late = 0;
    long lastMillis = 0;
    for (Send send : sends) {
      long afterMillis = (send.firstByteNanos - toldNanos) / 1_000_000;
      if (upstreams.contains(send.upstream) && afterMillis > 0) {
        lastMillis = Math.max(lastMillis, afterMillis);
        boolean isLate = afterMillis > limitMillis;
        late += isLate ? 1 : 0;
        lab.log(
            "request " + send.traceId + " came to " + send.upstream + " at +" + afterMillis + " ms"
                + (isLate ? " AFTER THE LIMIT" : ""));
      }
    }
    lab.log(
        "answered " + answered.get() + ", served " + served.get() + ", last one sent to "
            + upstreams + " at +" + lastMillis + " ms, after the limit " + late);
    if (answered.get() < 100) {
      throw new IOException("too few answers");
    }
    return late == 0
        ? null
        : late + " requests went to " + upstreams + " later than " + limitMillis + " ms after "
            + since + ", the last at +" + lastMillis + " ms";
  }
}
