package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.EndpointState;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Two events in one turn of the event loop, in the order that is asked for: the loop is held while both happen. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class EventOrderTest {

  private static final String NOWHERE = "127.0.0.1:1";
  private static final long TIMEOUT = TimeUnit.MILLISECONDS.toNanos(300);
  private static final String CUE = "X-Size-Hint: 7\r\n";

  /** What the next cues do on the event loop, one each; with none left a cue does nothing. */
  private final BlockingQueue<Consumer<Consumer<Action>>> cues = new LinkedBlockingQueue<>();

  /** Sends every request but a cue to the first upstream, once. */
  private ScriptedEngine module(long timeoutNanos) {
    return new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r && r.workHintNanos() > 0) {
        Consumer<Consumer<Action>> cue = cues.poll();
        if (cue != null) {
          cue.accept(out);
        }
        out.accept(new RejectRequest(r.requestId(), 0));
      } else if (event instanceof RequestArrived r) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), timeoutNanos));
      } else if (event instanceof AttemptEnded o && !o.finished()) {
        out.accept(new FailRequest(o.requestId()));
      }
    });
  }

  private static void pass(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** An upstream whose connections do what they are told; they have done it when {@link #does} returns. */
  private static final class Puppet implements AutoCloseable {
    private final BlockingQueue<FakeServer.Script> orders = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
    final FakeServer server = new FakeServer(c -> {
      while (c.next() != null) {
        orders.take().run(c);
        done.add(true);
      }
    });

    Puppet() throws IOException {}

    void does(FakeServer.Script order) {
      orders.add(order);
      try {
        assertNotNull(done.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private static void answer(FakeServer.Connection c) throws IOException {
    c.write(FakeServer.ok("first"));
  }

  /** What crosses an attempt's end, in the order of the name, and what has to come of it. */
  private enum Ends {
    CANCEL_THEN_ANSWER(AttemptStatus.CANCELLED, EventOrderTest::answer),
    CANCEL_THEN_RESET(AttemptStatus.CANCELLED, FakeServer.Connection::reset),
    ANSWER_THEN_CANCEL(AttemptStatus.SUCCESS, EventOrderTest::answer),
    RESET_THEN_CANCEL(AttemptStatus.RESET, FakeServer.Connection::reset),
    ANSWER_THEN_TIME_OUT(AttemptStatus.SUCCESS, EventOrderTest::answer),
    RESET_THEN_TIME_OUT(AttemptStatus.RESET, FakeServer.Connection::reset),
    TIME_OUT_THEN_ANSWER(AttemptStatus.TIMEOUT, EventOrderTest::answer),
    TIME_OUT_THEN_RESET(AttemptStatus.TIMEOUT, FakeServer.Connection::reset),
    ANSWER_THEN_RESET(AttemptStatus.SUCCESS, c -> {
      answer(c);
      c.reset();
    });

    final AttemptStatus status;
    final FakeServer.Script upstream;

    Ends(AttemptStatus status, FakeServer.Script upstream) {
      this.status = status;
      this.upstream = upstream;
    }
  }

  @ParameterizedTest
  @EnumSource(Ends.class)
  void ofTwoEndsOfAnAttemptTheFirstHolds(Ends ends) throws Exception {
    boolean timed = ends.name().contains("TIME_OUT");
    ScriptedEngine module = module(timed ? TIMEOUT : TimeUnit.SECONDS.toNanos(30));
    try (Puppet upstream = new Puppet(); ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true,
        ProxyFixture.member("s-1", upstream.server.address(), "ready"))), module); Client client = rig.client();
        Client cue = rig.client(); Client second = rig.client()) {
      switch (ends) {
        // Decided while the other is in the kernel, not read yet.
        case CANCEL_THEN_ANSWER, CANCEL_THEN_RESET -> cues.add(out -> {
          upstream.does(ends.upstream);
          out.accept(new CancelAttempt("r0", 0));
        });
        // Both are read before either is told: the cancelling comes with the second cue.
        case ANSWER_THEN_CANCEL, RESET_THEN_CANCEL -> {
          cues.add(out -> {
            upstream.does(ends.upstream);
            write(second, ProxyFixture.get("cue-2", CUE));
          });
          cues.add(out -> out.accept(new CancelAttempt("r0", 0)));
        }
        // The time is up as well when the loop goes on, and it looks at its sockets first.
        case ANSWER_THEN_TIME_OUT, RESET_THEN_TIME_OUT -> cues.add(out -> {
          upstream.does(ends.upstream);
          pass(TimeUnit.NANOSECONDS.toMillis(TIMEOUT) + 50);
        });
        // The time is up when the second cue is told, in the same turn and after all sockets have been looked at.
        case TIME_OUT_THEN_ANSWER, TIME_OUT_THEN_RESET -> {
          cues.add(out -> {
            pass(TimeUnit.NANOSECONDS.toMillis(TIMEOUT) + 50);
            write(second, ProxyFixture.get("cue-2", CUE));
          });
          cues.add(out -> upstream.does(ends.upstream));
        }
        case ANSWER_THEN_RESET -> cues.add(out -> upstream.does(ends.upstream));
        default -> throw new IllegalStateException();
      }
      client.write(ProxyFixture.get("t", ""));
      assertNotNull(upstream.server.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      cue.ask(ProxyFixture.get("cue-1", CUE));
      AttemptEnded first = module.next(AttemptEnded.class);
      assertEquals(ends.status, first.status());
      String answer = client.answer();
      assertTrue(answer.startsWith(ends.status == AttemptStatus.SUCCESS ? "HTTP/1.1 200 " : "HTTP/1.1 502 "), answer);
      // And what follows gets its own answer, on whatever connection.
      client.write(ProxyFixture.get("t2", ""));
      assertNotNull(upstream.server.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      upstream.does(c -> c.write(FakeServer.ok("second")));
      assertTrue(client.answer().endsWith("\r\n\r\nsecond"), "its own answer");
      assertNotEquals(first.requestId(), module.next(AttemptEnded.class).requestId(), "one outcome an attempt");
    }
  }

  private static void write(Client client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** All of it has left, and all but a byte been read: it may have run, and is not one that could not connect. */
  @Test
  void aResetWithinARequestsLastBytesMayHaveRun() throws Exception {
    ScriptedEngine module = module(TimeUnit.SECONDS.toNanos(30));
    String body = "x".repeat(1000);
    try (FakeServer upstream = new FakeServer(c -> {
      c.readUntil(body.substring(1));
      c.reset();
    }); ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready"))), module);
        Client client = rig.client()) {
      assertTrue(client.ask(ProxyFixture.post("t", "Idempotency-Key: k\r\n", body)).startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.RESET, module.next(AttemptEnded.class).status());
      assertEquals(1, upstream.connections.size(), "not sent again");
    }
  }

  /** How an upstream comes back at the address of one that was there before. */
  @ParameterizedTest
  @CsvSource({"s-1,gone", "s-1,ready", "s-2,gone"})
  void aConnectionToTheProcessBeforeIsNotUsedForTheNext(String back, String before) throws Exception {
    CountDownLatch restarted = new CountDownLatch(1);
    AtomicInteger connections = new AtomicInteger();
    try (FakeServer upstream = new FakeServer(c -> {
      // The machine of the first process has vanished after its answer: nothing more comes, not even an end.
      boolean first = connections.incrementAndGet() == 1;
      for (int i = 0; c.next() != null; i++) {
        if (!first || i == 0) {
          c.write(FakeServer.ok(first ? "before" : "next"));
        }
      }
    }); FakeServer discovery = new FakeServer(c -> {
      c.next();
      restarted.await();
      String now = ProxyFixture.member(back, upstream.address(), "ready")
          .replace("\"up_since_ms\":0", "\"up_since_ms\":" + System.currentTimeMillis());
      c.write(DiscoveryMessages.watch(ProxyFixture.list(2, false,
          before.equals("ready") ? now : ProxyFixture.member("s-1", upstream.address(), before))));
      c.write(DiscoveryMessages.chunk(ProxyFixture.list(3, false, now)));
      c.ends();
    })) {
      ScriptedEngine module = new ScriptedEngine((event, out) -> {
        if (event instanceof EndpointListUpdate n && n.kind() == UpdateKind.CACHED) {
          out.accept(new WatchEndpoints(true));
        } else if (event instanceof RequestArrived r) {
          out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number(restarted.getCount() > 0 ? "s-1" : back), 0));
        }
      });
      try (ProxyFixture rig = new ProxyFixture(ProxyFixture.config(discovery.address(),
          ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready"))), module); Client client = rig.client()) {
        assertTrue(client.ask(ProxyFixture.get("t1", "")).endsWith("\r\n\r\nbefore"));
        pass(50); // The connection has rested long enough to be used again.
        restarted.countDown();
        for (UpdateKind kind : List.of(UpdateKind.CACHED, UpdateKind.DELTA, UpdateKind.DELTA)) {
          assertEquals(kind, module.next(EndpointListUpdate.class).kind());
        }
        assertTrue(client.ask(ProxyFixture.get("t2", "")).endsWith("\r\n\r\nnext"));
      }
    }
  }

  /** A stop and a reload are asked for in one turn of the loop. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void aReloadAndAStopThatCrossAreBothCarriedOut(boolean stopFirst) throws Exception {
    ScriptedEngine module = module(TimeUnit.SECONDS.toNanos(30));
    try (FakeServer fresh = new FakeServer(FakeServer.Connection::ends);
        ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true), "pushed", 200, 1024, ""), module); Client cue = rig.client();
        Client other = rig.client()) {
      Thread stop = new Thread(rig.server::shutDownGracefully);
      cues.add(out -> {
        if (stopFirst) {
          stop.start();
          pass(100); // It waits for the loop by then.
        }
        reload(rig, fresh);
        if (!stopFirst) {
          stop.start();
          pass(100);
        }
      });
      assertTrue(cue.ask(ProxyFixture.get("cue", CUE)).startsWith("HTTP/1.1 429 "));
      assertNotNull(fresh.connections.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS), "discovery is followed");
      assertTrue(other.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n").startsWith("HTTP/1.1 503 "), "it stops");
      stop.join(TimeUnit.SECONDS.toMillis(ProxyFixture.TIMEOUT_SECONDS));
      assertTrue(!stop.isAlive(), "ends");
    }
  }

  private static void reload(ProxyFixture rig, FakeServer discovery) {
    rig.server.reload(() -> ProxyFixture.config(discovery.address(), ProxyFixture.list(1, true)));
  }

  /** The old discovery ends the watch in the turn in which the balancer is told of the new one, before or after that. */
  @ParameterizedTest
  @CsvSource({"true", "false"})
  void theOldDiscoverysCloseCrossesTheReload(boolean closedFirst) throws Exception {
    CountDownLatch close = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    String a = ProxyFixture.member("s-1", NOWHERE, "ready");
    ScriptedEngine module = module(0);
    try (FakeServer old = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(2, true, a)));
      close.await();
      c.reset();
      closed.countDown();
    }); FakeServer fresh = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(3, true, a, ProxyFixture.member("s-2", NOWHERE, "draining"))));
      c.ends();
    }); ProxyFixture rig = new ProxyFixture(ProxyFixture.config(old.address(), ProxyFixture.list(1, true, a), "pushed", 200, 1024, ""), module);
        Client cue = rig.client(); Client second = rig.client()) {
      assertEquals(UpdateKind.CACHED, module.next(EndpointListUpdate.class).kind());
      assertEquals(UpdateKind.FULL, module.next(EndpointListUpdate.class).kind());
      cues.add(out -> {
        if (closedFirst) {
          close.countDown();
          await(closed);
          write(second, ProxyFixture.get("cue-2", CUE)); // Read with the reset; the reload is told of after both.
        } else {
          reload(rig, fresh);
          close.countDown();
          await(closed);
        }
      });
      if (closedFirst) {
        cues.add(out -> reload(rig, fresh));
      }
      cue.ask(ProxyFixture.get("cue-1", CUE));
      EndpointListUpdate news = module.next(EndpointListUpdate.class);
      assertEquals(2, news.endpoints().size(), "by the new discovery's list");
      pass(1000); // More than the wait before the agent is asked again.
      assertEquals(1, fresh.connections.size(), "one watch at the new address");
      assertNull(module.events.stream().filter(e -> e instanceof EndpointListUpdate).findFirst().orElse(null));
    }
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** The new discovery is down at the reload, and back with drains: they count as told 4 s after the signal. */
  @Test
  void drainsBehindADiscoveryThatIsDownAtTheReloadComeInTime() throws Exception {
    AtomicInteger calls = new AtomicInteger();
    AtomicLong reloadedAt = new AtomicLong();
    String a = ProxyFixture.member("s-1", NOWHERE, "ready");
    ScriptedEngine module = module(0);
    try (FakeServer old = new FakeServer(c -> {
      c.next();
      c.write(DiscoveryMessages.watch(ProxyFixture.list(2, true, a)));
      c.ends();
    }); FakeServer fresh = new FakeServer(c -> {
      // Refused as often as it takes for the longest backoff, then mute, and only then there.
      if (calls.incrementAndGet() <= 5) {
        c.reset();
      } else if (calls.get() == 6) {
        c.ends();
      } else {
        c.next();
        c.write(DiscoveryMessages.watch(ProxyFixture.list(3, false, a.replace("ready", "draining"))));
        c.ends();
      }
    }); ProxyFixture rig = new ProxyFixture(ProxyFixture.config(old.address(), ProxyFixture.list(1, true, a), "pushed", 200, 1024, ""), module)) {
      module.next(EndpointListUpdate.class);
      assertEquals(UpdateKind.FULL, module.next(EndpointListUpdate.class).kind());
      reloadedAt.set(System.nanoTime());
      reload(rig, fresh);
      EndpointListUpdate news = module.next(EndpointListUpdate.class);
      assertEquals(List.of(EndpointState.DRAINING), news.endpoints().stream().map(e -> e.state()).toList());
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - reloadedAt.get());
      assertTrue(millis < 3500, "told after " + millis + " ms");
    }
  }
}
