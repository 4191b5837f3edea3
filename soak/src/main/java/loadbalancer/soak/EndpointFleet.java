package loadbalancer.soak;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntConsumer;

/** The upstreams of a run, which are added, restarted and removed. Thread-safe. */
final class EndpointFleet implements AutoCloseable {

  private static final long LATENCY_MILLIS = 15;
  private static final long DRAIN_MILLIS = 1500;

  private final EventLoopGroup group;
  private final EndpointCatalogue catalogue;
  private final AttemptLog attempts;
  private final IntConsumer onPublish;
  private final List<FakeUpstream> all = new ArrayList<>();
  private final List<FakeUpstream> unreserved = new ArrayList<>();
  private int nextNumber;

  /**
   * Starts a number of upstreams, which are listed as started long ago.
   *
   * @param onPublish called with each new revision of the list
   */
  EndpointFleet(
      EventLoopGroup group,
      EndpointCatalogue catalogue,
      AttemptLog attempts,
      int count,
      IntConsumer onPublish) {
    this.group = group;
    this.catalogue = catalogue;
    this.attempts = attempts;
    this.onPublish = onPublish;
    for (int i = 0; i < count; i++) {
      add(0);
    }
  }

  private synchronized FakeUpstream add(long startedUnixMillis) {
    int number = nextNumber++;
    FakeUpstream upstream =
        new FakeUpstream(group.next(), "s" + number, attempts, LATENCY_MILLIS, number);
    upstream.start(startedUnixMillis);
    all.add(upstream);
    unreserved.add(upstream);
    publish(upstream, EndpointEntry.Phase.READY, startedUnixMillis);
    return upstream;
  }

  private void publish(FakeUpstream upstream, EndpointEntry.Phase phase, long started) {
    onPublish.accept(
        catalogue.add(new EndpointEntry(upstream.name(), upstream.address(), phase, started)));
  }

  /** Reserves an upstream for one disruption and returns it; null if too few are unreserved. */
  private synchronized FakeUpstream tryReserve(int target) {
    if (unreserved.size() <= all.size() / 2 || unreserved.size() < 3) {
      return null;
    }
    return unreserved.remove(target % unreserved.size());
  }

  private synchronized void release(FakeUpstream upstream) {
    unreserved.add(upstream);
  }

  /** Drains and removes an upstream, then adds a new one. */
  void replace(int target) throws InterruptedException {
    FakeUpstream leaving = tryReserve(target);
    if (leaving == null) {
      return;
    }
    replace(List.of(leaving));
  }

  /**
   * Drains and removes all upstreams that no other disruption has reserved, then adds as many new
   * ones.
   */
  void replaceAll() throws InterruptedException {
    List<FakeUpstream> leaving;
    synchronized (this) {
      leaving = List.copyOf(unreserved);
      unreserved.clear();
    }
    replace(leaving);
  }

  private void replace(List<FakeUpstream> leaving) throws InterruptedException {
    publishAll(leaving, EndpointEntry.Phase.DRAINING);
    Thread.sleep(DRAIN_MILLIS);
    publishAll(leaving, EndpointEntry.Phase.GONE);
    leaving.forEach(FakeUpstream::kill);
    synchronized (this) {
      all.removeAll(leaving);
    }
    for (int i = 0; i < leaving.size(); i++) {
      add(System.currentTimeMillis());
    }
  }

  private void publishAll(List<FakeUpstream> upstreams, EndpointEntry.Phase phase) {
    upstreams.forEach(upstream -> publish(upstream, phase, upstream.startedUnixMillis()));
  }

  /** Kills an upstream and restarts it after a time, so that it has to warm up. */
  void restart(int target, long downMillis) throws InterruptedException {
    FakeUpstream upstream = tryReserve(target);
    if (upstream != null) {
      upstream.kill();
      Thread.sleep(downMillis);
      upstream.setMode(FakeUpstream.Mode.SERVING);
      long now = System.currentTimeMillis();
      upstream.start(now);
      publish(upstream, EndpointEntry.Phase.READY, now);
      release(upstream);
    }
  }

  /** Switches an upstream to a mode for a time. */
  void runInMode(int target, FakeUpstream.Mode mode, long millis) throws InterruptedException {
    FakeUpstream upstream = tryReserve(target);
    if (upstream != null) {
      upstream.setMode(mode);
      Thread.sleep(millis);
      upstream.setMode(FakeUpstream.Mode.SERVING);
      release(upstream);
    }
  }

  @Override
  public synchronized void close() {
    all.forEach(FakeUpstream::close);
  }
}
