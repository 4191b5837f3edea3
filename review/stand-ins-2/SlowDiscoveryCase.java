import java.io.IOException;
import java.util.List;

/**
 * Discovery that has to be asked is crowded: each call waits in turn for some seconds before it is
 * answered. Soon after the load balancer's start, an upstream begins to drain. Nothing new may go
 * to it once the change counts as told and the grace is over.
 */
final class SlowDiscoveryCase {

  /** The wait of a call in discovery's queue. */
  private static final long WAIT_MILLIS = 3200;

  /** The change counts as told after 6 s; 500 ms of grace and 50 ms for sockets follow. */
  private static final long LIMIT_MILLIS = 6000 + 500 + 50;

  private SlowDiscoveryCase() {}

  public static void main(String[] arguments) throws IOException {
    Lab.main(SlowDiscoveryCase::run);
  }

  private static String run(Lab lab) throws Exception {
    DrainLog sends = new DrainLog(lab);
    Discovery discovery = new Discovery(lab, "discovery", 41);
    Upstream[] upstreams = new Upstream[4];
    for (int i = 0; i < upstreams.length; i++) {
      upstreams[i] = new Upstream("s-" + i, sends.serving());
      discovery.list(upstreams[i]);
    }
    if (Lab.TROUBLE) {
      lab.log("discovery is crowded: a call waits " + WAIT_MILLIS + " ms");
      discovery.answerDelayMillis = WAIT_MILLIS;
    }
    int port = Lab.freePort();
    Lab.Proxy proxy =
        lab.startProxy(port, discovery.port, discovery.wholeList(), Lab.settings("on_request"));
    sends.startClients(6, port);
    Lab.sleep(2000);
    discovery.change("draining", upstreams[1]);
    long changedNanos = System.nanoTime();
    Lab.sleep(16_000);
    if (!proxy.isAlive()) {
      throw new IOException("the load balancer has ended");
    }
    return sends.check(
        List.of(upstreams[1].id), changedNanos, LIMIT_MILLIS, "discovery had its drain");
  }
}
