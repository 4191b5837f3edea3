package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.discovery.EndpointList.Member;
import loadbalancer.net.MonotonicClock;
import loadbalancer.net.SocketAddresses;
import org.junit.jupiter.api.Test;

/** Ids, incarnations and start times of endpoints. */
class EndpointDirectoryTest {

  private final EndpointDirectory directory = new EndpointDirectory(new MonotonicClock());

  private List<Long> apply(int revision, Member... members) {
    EndpointList list = new EndpointList(revision, true, List.of(members));
    return directory.apply(UpdateKind.FULL, list).endpoints().stream().map(e -> e.id()).toList();
  }

  private static Member member(String name, int port, long upSinceMillis) {
    InetSocketAddress address = SocketAddresses.parse("address", "127.0.0.1:" + port);
    return new Member(name, address, "a", 0, EndpointState.READY, 1, upSinceMillis);
  }

  /** Figures of the algorithm's authors: other ids would place the keys anew at every update. */
  @Test
  void idsAreFnv1aHashesOfTheNames() {
    assertEquals(
        List.of(0xaf63dc4c8601ec8cL, 0x85944171f73967e8L),
        apply(1, member("a", 1, 0), member("foobar", 2, 0)));
  }

  @Test
  void idsStayAcrossDepartureAndReturn() {
    List<Long> before = apply(1, member("a", 1, 0), member("b", 2, 0));
    apply(2, member("b", 2, 0));
    assertEquals(before, apply(3, member("a", 1, 0), member("b", 2, 0)));
  }

  @Test
  void endpointsWithAnotherAddressOrStartTimeHaveRestarted() {
    List<Long> ids = apply(1, member("a", 1, 5), member("b", 2, 5), member("c", 3, 5));
    assertEquals(List.of(), directory.restartedEndpoints());
    apply(2, member("a", 1, 6), member("b", 9, 5), member("c", 3, 5));
    assertEquals(ids.subList(0, 2), directory.restartedEndpoints());
    apply(3, member("a", 1, 6), member("b", 9, 5), member("c", 3, 5));
    assertEquals(List.of(), directory.restartedEndpoints());
  }

  @Test
  void startTimesKeepTheirDistanceAndLongAgoStaysLongAgo() {
    MonotonicClock clock = new MonotonicClock();
    long second = TimeUnit.SECONDS.toNanos(1);
    long wall = System.currentTimeMillis();
    assertEquals(0, clock.nanosAtUnixMillis(0), "long ago");
    assertEquals(clock.nanosAtUnixMillis(wall), clock.nanosAtUnixMillis(wall - 1000) + second);
    long now = clock.nanosAtUnixMillis(System.currentTimeMillis());
    assertTrue(Math.abs(clock.nowNanos() - now) < 60 * second);
    assertTrue(clock.nanosAtUnixMillis(1) > 0, "older than the process is not long ago");
  }
}
