import java.io.IOException;
import java.util.List;

/**
 * Both upstreams of a small fleet begin to drain. The watch ends instead of telling it, and the
 * first answer to the next call is the whole list, which leaves out upstreams that drain, so it is
 * empty. Nothing new may go to the two once that has been told and the grace is over.
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
    if (Lab.TROUBLE) {
      discovery.answersWholeList = true;
      discovery.changeAndEndWatches("draining", one, other);
    } else {
      discovery.change("draining", one, other);
    }
    long toldNanos = discovery.awaitTold(TOLD_WITHIN_MILLIS);
    Lab.sleep(8000);
    if (!proxy.isAlive()) {
      throw new IOException("the load balancer has ended");
    }
    return sends.check(List.of(one.id, other.id), toldNanos, LIMIT_MILLIS, "it was told");
  }
}
