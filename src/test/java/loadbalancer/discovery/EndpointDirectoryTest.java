package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointList.Member;
import loadbalancer.net.MonotonicClock;
import loadbalancer.net.SocketAddresses;
import org.junit.jupiter.api.Test;

/** Tests the ids, incarnations and start times of endpoints. */
class EndpointDirectoryTest {

  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final MonotonicClock clock = new MonotonicClock();
  private final EndpointDirectory directory = new EndpointDirectory(clock);

  private List<Long> applyAndGetIds(int revision, Member... members) {
    EndpointList list = new EndpointList(revision, true, List.of(members));
    return directory.apply(UpdateKind.FULL, list).endpoints().stream().map(e -> e.id()).toList();
  }

  private static Member member(String name, int port, long upSinceMillis) {
    InetSocketAddress address = SocketAddresses.parse("address", "127.0.0.1:" + port);
    return new Member(name, address, "a", 0, EndpointState.READY, 1, upSinceMillis);
  }

  /** The values are published FNV-1a test vectors. Other ids would move keys to other endpoints. */
  @Test
  void idsAreFnv1aHashesOfTheNames() {
    assertEquals(
        List.of(0xaf63dc4c8601ec8cL, 0x85944171f73967e8L),
        applyAndGetIds(1, member("a", 1, 0), member("foobar", 2, 0)));
  }

  @Test
  void idsStayAcrossDepartureAndReturn() {
    List<Long> before = applyAndGetIds(1, member("a", 1, 0), member("b", 2, 0));
    applyAndGetIds(2, member("b", 2, 0));
    assertEquals(before, applyAndGetIds(3, member("a", 1, 0), member("b", 2, 0)));
  }

  /** Guards against an ignored empty list, whose omitted endpoints stayed in use for good. */
  @Test
  void completeListWithoutMembersRemovesAllEndpoints() {
    List<Long> ids = applyAndGetIds(5, member("a", 1, 0), member("b", 2, 0));
    EndpointListUpdate update =
        directory.apply(UpdateKind.FULL, new EndpointList(6, true, List.of()));
    assertEquals(new EndpointListUpdate(UpdateKind.FULL, List.of()), update);
    assertEquals(6, directory.revision());
    assertEquals(0, directory.size());
    assertFalse(directory.isReady(ids.get(0)));
    assertNull(directory.address(ids.get(1)));
    assertEquals(ids.subList(0, 1), applyAndGetIds(7, member("a", 1, 0)), "it returns");
    assertEquals(1, directory.readyCount());
  }

  /** An older empty list may come from a discovery that lags, as any other older list. */
  @Test
  void completeListWithoutMembersOfAnOlderRevisionIsRejected() {
    List<Long> ids = applyAndGetIds(5, member("a", 1, 0));
    EndpointListUpdate update =
        directory.apply(UpdateKind.FULL, new EndpointList(4, true, List.of()));
    assertEquals(new EndpointListUpdate(UpdateKind.DELTA, List.of()), update);
    assertTrue(directory.isDiscoveryBehind());
    assertTrue(directory.isReady(ids.get(0)));
  }

  @Test
  void endpointsWithAnotherAddressOrStartTimeHaveRestarted() {
    List<Long> ids = applyAndGetIds(1, member("a", 1, 5), member("b", 2, 5), member("c", 3, 5));
    assertEquals(List.of(), directory.restartedEndpoints());
    applyAndGetIds(2, member("a", 1, 6), member("b", 9, 5), member("c", 3, 5));
    assertEquals(ids.subList(0, 2), directory.restartedEndpoints());
    applyAndGetIds(3, member("a", 1, 6), member("b", 9, 5), member("c", 3, 5));
    assertEquals(List.of(), directory.restartedEndpoints());
  }

  private List<Endpoint> applyDelta(int revision, Member... members) {
    EndpointList list = new EndpointList(revision, false, List.of(members));
    return directory.apply(UpdateKind.DELTA, list).endpoints();
  }

  private List<Endpoint> applyComplete(UpdateKind kind, int revision, Member... members) {
    return directory.apply(kind, new EndpointList(revision, true, List.of(members))).endpoints();
  }

  /**
   * The endpoint with the latest stated start may have just started. The others started earlier by
   * the differences between the stated starts.
   */
  @Test
  void startTimesKeepTheirDifferencesAndStartLongAgoIsZero() {
    long beforeNanos = clock.nowNanos();
    List<Endpoint> endpoints =
        applyComplete(
            UpdateKind.FULL,
            1,
            member("a", 1, 0),
            member("b", 2, 1_000_000),
            member("c", 3, 1_007_000));
    assertEquals(0, endpoints.get(0).startedNanos(), "started long ago");
    assertTrue(endpoints.get(2).startedNanos() >= beforeNanos, "may have started just now");
    assertEquals(
        7 * SECOND_NANOS, endpoints.get(2).startedNanos() - endpoints.get(1).startedNanos());
  }

  @Test
  void startTimeBecomesEarlierOnceLaterStartsAreStated() {
    List<Endpoint> first =
        applyComplete(UpdateKind.CACHED, 1, member("a", 1, 1_000_000), member("b", 2, 1_001_000));
    assertTrue(first.get(1).startedNanos() <= clock.nowNanos());
    List<Endpoint> later = applyDelta(2, member("c", 3, 1_501_000), member("a", 1, 1_000_000));
    assertTrue(later.get(0).startedNanos() <= clock.nowNanos(), "not in the future");
    assertEquals(
        501 * SECOND_NANOS,
        later.get(0).startedNanos() - later.get(1).startedNanos(),
        "difference between the stated starts");
  }

  /** This holds for any stated start: the clock of the machine that states it may be behind. */
  @Test
  void startSeenOnWatchIsNotBeforePreviousUpdate() {
    applyComplete(UpdateKind.FULL, 1, member("a", 1, 9_000_000), member("b", 2, 0));
    long betweenUpdatesNanos = clock.nowNanos();
    applyDelta(2, member("b", 2, 0));
    List<Endpoint> later = applyDelta(3, member("a", 1, 5_000_000), member("c", 3, 6_000_000));
    assertTrue(
        later.get(0).startedNanos() >= betweenUpdatesNanos, "restarted after the previous update");
    assertTrue(
        later.get(1).startedNanos() >= betweenUpdatesNanos, "listed after the previous update");
  }

  @Test
  void startTimeOutOfRangeCountsAsNow() {
    long beforeNanos = clock.nowNanos();
    List<Endpoint> endpoints =
        applyComplete(
            UpdateKind.FULL, 1, member("a", 1, Long.MAX_VALUE), member("b", 2, 1_000_000));
    for (Endpoint endpoint : endpoints) {
      assertTrue(
          endpoint.startedNanos() >= beforeNanos && endpoint.startedNanos() <= clock.nowNanos());
    }
  }
}
