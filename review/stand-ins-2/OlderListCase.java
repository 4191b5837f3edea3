import java.io.IOException;
import java.util.List;

/**
 * An upstream drains, and discovery tells it. Then a new configuration moves discovery to another
 * address, where lists come late: for some seconds it still has the version from before the drain.
 * Nothing new may go to the draining upstream.
 */
final class OlderListCase {

  /** 500 ms of grace and 50 ms for sockets. */
  private static final long LIMIT_MILLIS = 500 + 50;

  /** How late the list comes to the new address; what discovery has counts as told after 6 s. */
  private static final long LATE_MILLIS = 5500;

  private OlderListCase() {}

  public static void main(String[] arguments) throws IOException {
    Lab.main(OlderListCase::run);
  }

  private static String run(Lab lab) throws Exception {
    DrainLog sends = new DrainLog(lab);
    Discovery first = new Discovery(lab, "discovery", 41);
    Discovery second = new Discovery(lab, "new discovery", 41);
    Upstream[] upstreams = new Upstream[4];
    for (int i = 0; i < upstreams.length; i++) {
      upstreams[i] = new Upstream("s-" + i, sends.serving());
      first.list(upstreams[i]);
      second.list(upstreams[i]);
    }
    int port = Lab.freePort();
    Lab.Proxy proxy = lab.startProxy(port, first.port, first.wholeList(), Lab.settings("pushed"));
    sends.startClients(6, port);
    Lab.sleep(3000);
    first.change("draining", upstreams[1]);
    long toldNanos = first.awaitTold(2000);
    if (!Lab.TROUBLE) {
      second.change("draining", upstreams[1]);
    }
    Lab.sleep(1000);
    proxy.replaceConfiguration(
        Lab.configuration(port, second.port, first.wholeList(), Lab.settings("pushed")));
    lab.log("SIGHUP");
    proxy.signal("HUP");
    Lab.sleep(100);
    first.retire();
    Lab.sleep(LATE_MILLIS - 100);
    if (Lab.TROUBLE) {
      second.change("draining", upstreams[1]);
    }
    Lab.sleep(3000);
    if (!proxy.isAlive()) {
      throw new IOException("the load balancer has ended");
    }
    return sends.check(List.of(upstreams[1].id), toldNanos, LIMIT_MILLIS, "its drain was told");
  }
}
