import java.io.IOException;
import java.util.List;

/**
 * A fleet of two upstreams is replaced in steps. When the second one begins to drain, the watch ends
 * instead of telling it, and the first answer to the next call is the whole list, which leaves out
 * upstreams that drain: it is empty until the new upstreams have started. Nothing new may go to
 * either upstream once its drain has been told and the grace is over.
 */
final class EmptyListCase {

  /** 500 ms of grace and 50 ms for sockets. */
  private static final long LIMIT_MILLIS = 500 + 50;

  /** The list is told by then: the agent answers at once, and calls are at most 0.4 s apart. */
  private static final long TOLD_WITHIN_MILLIS = 5000;

  private EmptyListCase() {}

  public static void main(String[] arguments) throws IOException {
    Lab.main(EmptyListCase::run);
  }

  private static String run(Lab lab) throws Exception {
    DrainLog sends = new DrainLog(lab);
    Discovery discovery = new Discovery(lab, "discovery", 41);
    Upstream one = new Upstream("s-0", sends.serving());
    Upstream other = new Upstream("s-1", sends.serving());
    discovery.list(one);
    discovery.list(other);
    int port = Lab.freePort();
    Lab.Proxy proxy =
        lab.startProxy(port, discovery.port, discovery.wholeList(), Lab.settings("pushed"));
    sends.startClients(6, port);
    Lab.sleep(3000);
    discovery.change("draining", one);
    long firstToldNanos = discovery.awaitTold(TOLD_WITHIN_MILLIS);
    Lab.sleep(3000);
    if (Lab.TROUBLE) {
      discovery.answersWholeList = true;
      discovery.changeAndEndWatches("draining", other);
    } else {
      discovery.change("draining", other);
    }
    long toldNanos = discovery.awaitTold(TOLD_WITHIN_MILLIS);
    Lab.sleep(5000);
    discovery.change(
        "ready", new Upstream("s-2", sends.serving()), new Upstream("s-3", sends.serving()));
    Lab.sleep(3000);
    if (!proxy.isAlive()) {
      throw new IOException("the load balancer has ended");
    }
    String first = sends.check(List.of(one.id), firstToldNanos, LIMIT_MILLIS, "its drain was told");
    String second = sends.check(List.of(other.id), toldNanos, LIMIT_MILLIS, "its drain was told");
    return first == null ? second : second == null ? first : first + "; " + second;
  }
}
