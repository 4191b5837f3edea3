package loadbalancer.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.Balancer.Refuse;
import loadbalancer.Balancer.Request;
import loadbalancer.serve.Rig.Client;
import loadbalancer.serve.Rig.Script;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The end of a balancer, while clients go on sending. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class StopTest {

  private static final String HEALTH = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n";

  private static Config config(long deadlineMillis) throws IOException {
    return Config.parse(Rig.text("127.0.0.1:1", Rig.list(1, true), "on_request", 200, 1024, "")
        .replace("\"deadline-ns\":40000000000", "\"deadline-ns\":" + deadlineMillis * 1_000_000), Map.of());
  }

  private static Thread stop(Rig rig) {
    Thread stop = new Thread(rig.server::stop);
    stop.start();
    rig.server.awaitStopping();
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
    stop.join(TimeUnit.SECONDS.toMillis(Rig.LIMIT_S));
    assertTrue(!stop.isAlive(), "ends");
  }

  /** The loop is busy while the request comes, and closes before it looks at its sockets again: that was a reset. */
  @Test
  void aRequestThatIsInTheKernelWhenIdleConnectionsAreClosedIsServed() throws Exception {
    AtomicReference<Rig> started = new AtomicReference<>();
    AtomicReference<Client> idle = new AtomicReference<>();
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        if (r.workHintNanos() > 0) {
          write(idle.get(), Rig.get("crossing", ""));
          started.get().server.frontend().close();
        }
        out.accept(new Refuse(r.id(), 0));
      }
    });
    try (Rig rig = new Rig(config(40_000), module); Client client = rig.client(); Client other = rig.client()) {
      started.set(rig);
      idle.set(client);
      assertNotNull(client.ask(HEALTH), "open, and then idle");
      assertTrue(other.ask(Rig.get("cue", "X-Size-Hint: 7\r\n")).startsWith("HTTP/1.1 429 "));
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
      Client cross(Rig rig, Client open) throws IOException {
        Client accepted = rig.client().write(Rig.get("crossing", ""));
        rig.server.frontend().acceptNoMore();
        return accepted;
      }
    },
    /** A whole request on a connection whose time to send one is up. */
    WHOLE_WHEN_ITS_TIME_IS_UP {
      @Override
      Client cross(Rig rig, Client open) throws IOException {
        open.write(Rig.get("crossing", ""));
        rig.server.frontend().end();
        return open;
      }
    };

    /** Runs on the event loop; the client whose request crosses. {@code open} has not sent anything. */
    abstract Client cross(Rig rig, Client open) throws IOException;
  }

  /** It was a reset, or an error. */
  @ParameterizedTest
  @EnumSource(Crossing.class)
  void aRequestThatIsInTheKernelIsAnswered(Crossing crossing) throws Exception {
    AtomicReference<Rig> started = new AtomicReference<>();
    AtomicReference<Client> open = new AtomicReference<>();
    CompletableFuture<Client> crossed = new CompletableFuture<>();
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        if (r.workHintNanos() > 0) {
          try {
            crossed.complete(crossing.cross(started.get(), open.get()));
          } catch (IOException e) {
            crossed.completeExceptionally(e);
          }
        }
        out.accept(new Refuse(r.id(), 0));
      }
    });
    try (Rig rig = new Rig(config(40_000), module); Client client = rig.client(); Client other = rig.client()) {
      started.set(rig);
      open.set(client);
      assertTrue(other.ask(Rig.get("cue", "X-Size-Hint: 7\r\n")).startsWith("HTTP/1.1 429 "));
      try (Client found = crossed.get(Rig.LIMIT_S, TimeUnit.SECONDS)) {
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
    Config config = config(deadlineMillis);
    Script module = new Script((event, out) -> {
      if (event instanceof Request r && r.workHintNanos() > 0) {
        try {
          Thread.sleep(450); // The time itself is what is tested.
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    });
    try (Rig rig = new Rig(config, module); Client busy = rig.client(); Client waiting = rig.client();
        Client late = rig.client()) {
      assertNotNull(late.ask(HEALTH));
      long from = System.nanoTime();
      Thread stop = stop(rig);
      Thread.sleep(Server.stopMillis(config.settings()) - 60);
      waiting.write(Rig.get("held", ""));
      busy.write(Rig.get("hold", "X-Size-Hint: 7\r\n"));
      Thread.sleep(50);
      late.write(Rig.get("unread", ""));
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
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Refuse(r.id(), 0));
      }
    });
    try (Rig rig = new Rig(config(300), module)) {
      Thread stop = stop(rig);
      Thread.sleep(400); // The time itself is what is tested.
      try (Client late = rig.client()) {
        assertTrue(late.ask(Rig.get("t", "")).startsWith("HTTP/1.1 429 "));
      }
      awaitEnd(stop);
    }
  }

  /** Held to the end: what is in hand is answered, what waits behind it is refused, and half a request is told so. */
  @Test
  void allIsAnsweredBeforeTheEnd() throws Exception {
    Script module = new Script((event, out) -> { });
    try (Rig rig = new Rig(config(40_000), module); Client client = rig.client(); Client slow = rig.client()) {
      client.write(Rig.get("t1", "") + Rig.get("t2", ""));
      assertEquals("r0", module.next(Request.class).id());
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
