package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The end of a balancer, while clients go on sending. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class GracefulShutdownTest {

  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  private static BalancerConfig config(long deadlineMillis) throws IOException {
    return BalancerConfig.parse(ProxyFixture.text("127.0.0.1:1", ProxyFixture.list(1, true), "on_request", 200, 1024, "")
        .replace("\"deadline-ns\":40000000000", "\"deadline-ns\":" + deadlineMillis * 1_000_000), Map.of());
  }

  private static Thread stop(ProxyFixture rig) {
    Thread stop = new Thread(rig.server::shutDownGracefully);
    stop.start();
    rig.server.awaitShutdownStart();
    return stop;
  }

  private static void write(Client client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void awaitEnd(Thread stop) throws InterruptedException {
    stop.join(TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
    assertTrue(!stop.isAlive(), "ends");
  }

  /** The loop is busy while the request comes, and closes before it looks at its sockets again: that was a reset. */
  @Test
  void aRequestThatIsInTheKernelWhenIdleConnectionsAreClosedIsServed() throws Exception {
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    AtomicReference<Client> idle = new AtomicReference<>();
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        if (r.workHintNanos() > 0) {
          write(idle.get(), ProxyFixture.get("crossing", ""));
          started.get().server.frontend().closeIdleConnections();
        }
        out.accept(new RejectRequest(r.requestId(), 0));
      }
    });
    try (ProxyFixture rig = new ProxyFixture(config(40_000), module); Client client = rig.client(); Client other = rig.client()) {
      started.set(rig);
      idle.set(client);
      assertNotNull(client.ask(HEALTH), "open, and then idle");
      assertTrue(other.ask(ProxyFixture.get("cue", "X-Size-Hint: 7\r\n")).startsWith("HTTP/1.1 429 "));
      String answer = client.answer();
      assertNotNull(answer, "closed over the request");
      assertTrue(answer.startsWith("HTTP/1.1 429 ") && answer.contains("connection: close\r\n"), answer);
      assertNull(client.answer());
    }
  }

  /** What crosses something that is done in the same turn of the loop, before that looks at its sockets again. */
  private enum Crossing {
    /** A connection that the machine has accepted, with its request, and the listener closes. */
    ACCEPTED_AT_THE_LISTENERS_CLOSE {
      @Override
      Client cross(ProxyFixture rig, Client open) throws IOException {
        Client accepted = rig.client().write(ProxyFixture.get("crossing", ""));
        rig.server.frontend().stopAccepting();
        return accepted;
      }
    },
    /** A whole request on a connection whose time to send one is up. */
    WHOLE_WHEN_ITS_TIME_IS_UP {
      @Override
      Client cross(ProxyFixture rig, Client open) throws IOException {
        open.write(ProxyFixture.get("crossing", ""));
        rig.server.frontend().expireIncompleteRequests();
        return open;
      }
    };

    /** Runs on the event loop; the client whose request crosses. {@code open} has not sent anything. */
    abstract Client cross(ProxyFixture rig, Client open) throws IOException;
  }

  /** It was a reset, or an error. */
  @ParameterizedTest
  @EnumSource(Crossing.class)
  void aRequestThatIsInTheKernelIsAnswered(Crossing crossing) throws Exception {
    AtomicReference<ProxyFixture> started = new AtomicReference<>();
    AtomicReference<Client> open = new AtomicReference<>();
    CompletableFuture<Client> crossed = new CompletableFuture<>();
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        if (r.workHintNanos() > 0) {
          try {
            crossed.complete(crossing.cross(started.get(), open.get()));
          } catch (IOException e) {
            crossed.completeExceptionally(e);
          }
        }
        out.accept(new RejectRequest(r.requestId(), 0));
      }
    });
    try (ProxyFixture rig = new ProxyFixture(config(40_000), module); Client client = rig.client(); Client other = rig.client()) {
      started.set(rig);
      open.set(client);
      assertTrue(other.ask(ProxyFixture.get("cue", "X-Size-Hint: 7\r\n")).startsWith("HTTP/1.1 429 "));
      try (Client found = crossed.get(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        String answer = found.answer();
        assertNotNull(answer, "closed over the request");
        assertTrue(answer.startsWith("HTTP/1.1 429 "), answer);
      }
    }
  }

  /** Held up right before it answers all that is in hand, the loop still does so before the earliest SIGKILL. */
  @Test
  void aLoopThatIsHeldUpAtTheEndStillAnswersBeforeSigkill() throws Exception {
    long deadlineMillis = 300;
    BalancerConfig config = config(deadlineMillis);
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r && r.workHintNanos() > 0) {
        try {
          Thread.sleep(450); // The time itself is what is tested.
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    });
    try (ProxyFixture rig = new ProxyFixture(config, module); Client busy = rig.client(); Client waiting = rig.client();
        Client late = rig.client()) {
      assertNotNull(late.ask(HEALTH));
      long from = System.nanoTime();
      Thread stop = stop(rig);
      Thread.sleep(ProxyServer.stopMillis(config.settings()) - 60);
      waiting.write(ProxyFixture.get("held", ""));
      busy.write(ProxyFixture.get("hold", "X-Size-Hint: 7\r\n"));
      Thread.sleep(50);
      late.write(ProxyFixture.get("unread", ""));
      for (Client client : List.of(waiting, busy, late)) {
        assertTrue(client.answer().startsWith("HTTP/1.1 50"), "a whole answer");
      }
      awaitEnd(stop);
      long tookMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
      assertTrue(tookMillis < deadlineMillis + 700, "SIGKILL comes before the end at " + tookMillis + " ms");
    }
  }

  /** New connections come for up to 0.4 s. Where the longest deadline was 0.3 s the process ended before that. */
  @Test
  void newConnectionsAreTakenAsLongWhereDeadlinesAreShort() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new RejectRequest(r.requestId(), 0));
      }
    });
    try (ProxyFixture rig = new ProxyFixture(config(300), module)) {
      Thread stop = stop(rig);
      Thread.sleep(400); // The time itself is what is tested.
      try (Client late = rig.client()) {
        assertTrue(late.ask(ProxyFixture.get("t", "")).startsWith("HTTP/1.1 429 "));
      }
      awaitEnd(stop);
    }
  }

  /** Held to the end: what is in hand is answered, what waits behind it is refused, and half a request is told so. */
  @Test
  void allIsAnsweredBeforeTheEnd() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> { });
    try (ProxyFixture rig = new ProxyFixture(config(40_000), module); Client client = rig.client(); Client slow = rig.client()) {
      client.write(ProxyFixture.get("t1", "") + ProxyFixture.get("t2", ""));
      assertEquals("r0", module.next(RequestArrived.class).requestId());
      Thread stop = stop(rig);
      assertNotNull(slow.ask(HEALTH));
      Thread.sleep(1700); // Begun before idle connections are closed, and late enough that it is not overdue by itself.
      slow.write("POST /api HT");
      assertTrue(client.answer().startsWith("HTTP/1.1 500 "), "held");
      assertTrue(client.answer().startsWith("HTTP/1.1 503 "), "it has not been tried");
      assertTrue(slow.answer().startsWith("HTTP/1.1 408 "));
      awaitEnd(stop);
    }
  }
}
