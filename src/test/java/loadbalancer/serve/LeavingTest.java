package loadbalancer.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.Balancer.ClientGone;
import loadbalancer.Balancer.Outcome;
import loadbalancer.Balancer.Refuse;
import loadbalancer.Balancer.Request;
import loadbalancer.Balancer.Send;
import loadbalancer.Balancer.Status;
import loadbalancer.serve.Rig.Client;
import loadbalancer.serve.Rig.Script;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that leave, or end their sending and still listen, while their request waits or is out. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class LeavingTest {

  private static final String NOWHERE = "127.0.0.1:1";
  private static final long LONG = TimeUnit.SECONDS.toNanos(30);

  private static Config one(StubServer upstream) throws IOException {
    return Rig.config(NOWHERE, Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")));
  }

  private static Config two(StubServer first, StubServer second) throws IOException {
    return Rig.config(NOWHERE, Rig.list(1, true, Rig.member("s-1", first.address(), "ready"),
        Rig.member("s-2", second.address(), "ready")));
  }

  /** Answers each request once told to. */
  private static StubServer onCue(CountDownLatch cue) throws IOException {
    return new StubServer(c -> {
      while (c.next() != null) {
        cue.await();
        c.write(StubServer.ok("x"));
      }
    });
  }

  /** A module that holds what comes: nobody waits for it any more, and it is not sent on. */
  @Test
  void aClientThatLeavesWhileItsRequestIsHeldIsSeenToLeave() throws Exception {
    Script module = new Script((event, out) -> { });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream), module)) {
      try (Client client = rig.client()) {
        client.write(Rig.get("t", ""));
        module.next(Request.class);
      }
      module.next(ClientGone.class);
    }
  }

  /** With a second request behind it the connection was not read any more, and its end not seen. */
  @Test
  void aClientThatLeavesWithAnotherRequestWaitingIsSeenToLeave() throws Exception {
    Script module = new Script((event, out) -> { });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream), module)) {
      try (Client client = rig.client()) {
        client.write(Rig.get("t1", ""));
        module.next(Request.class);
        client.write(Rig.get("t2", "")).write(Rig.get("t3", ""));
      }
      module.next(ClientGone.class);
    }
  }

  /** Its client left between two attempts: the module is not asked for the next one. */
  @Test
  void anAttemptThatFailsAfterItsClientHasLeftIsTheLast() throws Exception {
    CountDownLatch cue = new CountDownLatch(1);
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), Discoveries.number("s-1"), LONG));
      } else if (event instanceof Outcome o && !o.finished()) {
        out.accept(new Send(o.id(), Discoveries.number("s-1"), LONG));
      }
    });
    try (StubServer upstream = new StubServer(c -> {
      while (c.next() != null) {
        cue.await();
        c.write("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
      }
    }); Rig rig = new Rig(one(upstream), module); Client client = rig.client()) {
      client.write(Rig.get("t", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      client.socket.shutdownOutput();
      awaitLeft(rig);
      cue.countDown();
      Outcome outcome = module.next(Outcome.class);
      assertEquals(Status.ERROR, outcome.status());
      assertTrue(outcome.finished(), "no more is wanted of the module");
      assertTrue(client.answer().startsWith("HTTP/1.1 500 "), "it may have run");
      assertNull(client.answer());
      assertNull(upstream.requests.poll(), "not sent again");
    }
  }

  /** Waits until the balancer has read the end: it has then looked at all sockets once more, and carried out what came of it. */
  private static void awaitLeft(Rig rig) throws IOException {
    for (int i = 0; i < 2; i++) {
      try (Client other = rig.client()) {
        other.ask("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n");
      }
    }
  }

  /** Its request is out: the answer is still wanted. It was taken for gone, and got nothing for a request that had run. */
  @Test
  void aClientThatEndsOnlyItsSendingGetsItsAnswer() throws Exception {
    CountDownLatch cue = new CountDownLatch(1);
    Script module = new Script(LONG);
    try (StubServer upstream = onCue(cue); Rig rig = new Rig(one(upstream), module); Client client = rig.client()) {
      client.write(Rig.get("t", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      client.socket.shutdownOutput();
      awaitLeft(rig);
      cue.countDown();
      String answer = client.answer();
      assertTrue(answer.startsWith("HTTP/1.1 200 ") && answer.endsWith("\r\n\r\nx"), answer);
      assertNull(client.answer(), "and then the connection ends");
    }
  }

  /** How a client leaves. */
  private enum Leaving {
    ENDS_ITS_SENDING, RESETS;

    void leave(Client client) {
      try {
        if (this == RESETS) {
          client.socket.setSoLinger(true, 0);
          client.close();
        } else {
          client.socket.shutdownOutput();
        }
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** The module decides while the client's end is in the kernel, not read yet: it was sent on for nobody. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void whatIsDecidedInTheTurnInWhichItsClientLeavesIsNotSent(Leaving how) throws Exception {
    AtomicReference<Client> leaving = new AtomicReference<>();
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        if (leaving.get() != null) {
          how.leave(leaving.getAndSet(null));
        }
        out.accept(new Send(r.id(), Discoveries.number("s-1"), LONG));
      }
    });
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream), module);
        Client client = rig.client(); Client other = rig.client()) {
      leaving.set(client);
      client.write(Rig.get("leaves", ""));
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
      if (how == Leaving.ENDS_ITS_SENDING) {
        assertTrue(client.answer().startsWith("HTTP/1.1 503 "), "a final answer, and a harmless one");
        assertNull(client.answer());
      }
      assertTrue(other.ask(Rig.get("stays", "")).startsWith("HTTP/1.1 200 "));
      assertTrue(upstream.requests.take().contains("X-Trace-Id: stays\r\n"), "the only one that was sent");
    }
  }

  /** The same for a further attempt: a retry, decided in the turn in which the client leaves. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void aRetryIsNotSentOnceItsClientHasLeft(Leaving how) throws Exception {
    AtomicReference<Client> leaving = new AtomicReference<>();
    Script module = new Script((event, out) -> {
      if (event instanceof Request r) {
        out.accept(new Send(r.id(), Discoveries.number("s-1"), LONG));
      } else if (event instanceof Outcome o && o.attempt() == 0) {
        how.leave(leaving.get());
        out.accept(new Send(o.id(), Discoveries.number("s-2"), LONG));
      }
    });
    try (StubServer full = StubServer.answering("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        StubServer second = StubServer.answering(StubServer.ok("x"));
        Rig rig = new Rig(two(full, second), module); Client client = rig.client()) {
      leaving.set(client);
      client.write(Rig.get("t", ""));
      assertEquals(Status.FULL, module.next(Outcome.class).status());
      Outcome further = module.next(Outcome.class);
      assertEquals(Status.NOT_SENT, further.status());
      assertTrue(further.finished(), "nothing more is wanted of the module");
      if (how == Leaving.ENDS_ITS_SENDING) {
        assertTrue(client.answer().startsWith("HTTP/1.1 503 "), "it has not run");
      }
      assertTrue(second.connections.isEmpty(), "not sent");
    }
  }

  /** And for a second copy, whose first is out at an upstream that does not answer; that one may still bring the answer. */
  @Test
  void aSecondCopyIsNotSentOnceItsClientHasLeft() throws Exception {
    AtomicReference<Client> leaving = new AtomicReference<>();
    CountDownLatch cue = new CountDownLatch(1);
    Script module = new Script((event, out) -> {
      if (event instanceof Request r && r.workHintNanos() == 0) {
        out.accept(new Send(r.id(), Discoveries.number("s-1"), LONG));
      } else if (event instanceof Request r) {
        Leaving.ENDS_ITS_SENDING.leave(leaving.get());
        out.accept(new Send("r0", Discoveries.number("s-2"), LONG));
        out.accept(new Refuse(r.id(), 0));
      }
    });
    try (StubServer first = onCue(cue); StubServer second = StubServer.answering(StubServer.ok("y"));
        Rig rig = new Rig(two(first, second), module); Client client = rig.client(); Client other = rig.client()) {
      leaving.set(client);
      client.write(Rig.get("t", ""));
      assertNotNull(first.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      assertTrue(other.ask(Rig.get("cue", "X-Size-Hint: 7\r\n")).startsWith("HTTP/1.1 429 "));
      Outcome copy = module.next(Outcome.class);
      assertEquals(Status.NOT_SENT, copy.status());
      assertEquals(1, copy.attempt());
      cue.countDown();
      assertTrue(client.answer().endsWith("\r\n\r\nx"), "the one that was out");
      assertNull(client.answer());
      assertTrue(second.requests.isEmpty(), "not sent");
    }
  }

  /** A connection that does not come up is waited for no longer, and its client need not wait either. */
  @Test
  void aRequestThatStillConnectsEndsAtOnceWhenItsClientEndsItsSending() throws Exception {
    Script module = new Script(0);
    try (AttemptTest.Silent upstream = new AttemptTest.Silent();
        Rig rig = new Rig(Rig.config(NOWHERE, Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")), "on_request",
            1000 * Rig.LIMIT_S, 1024, ""), module); Client client = rig.client()) {
      client.write(Rig.get("t", ""));
      module.next(Request.class);
      client.socket.shutdownOutput();
      assertTrue(client.answer().startsWith("HTTP/1.1 503 "), "it has not run");
      assertNull(client.answer());
      module.next(ClientGone.class);
      assertEquals(Status.NOT_SENT, module.next(Outcome.class).status());
    }
  }

  /** Nothing starts for a client that has left: what waits its turn behind a slow request is answered, not sent. */
  @Test
  void whatWaitsItsTurnBehindASlowRequestIsNotSentOnceItsClientHasLeft() throws Exception {
    CountDownLatch cue = new CountDownLatch(1);
    try (StubServer upstream = onCue(cue); Rig rig = new Rig(one(upstream), new Script(LONG)); Client client = rig.client()) {
      client.write(Rig.get("t1", "") + Rig.get("t2", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      client.socket.shutdownOutput();
      awaitLeft(rig);
      cue.countDown();
      assertTrue(client.answer().startsWith("HTTP/1.1 200 "));
      assertTrue(client.answer().startsWith("HTTP/1.1 503 "), "refused, and harmless");
      assertNull(client.answer());
      assertNull(upstream.requests.poll(), "not sent");
    }
  }

  /** A half request is nobody's: it gets the close that it asks for. */
  @ParameterizedTest
  @CsvSource({"''", "GET /api HT"})
  void withoutAWholeRequestTheEndOfTheSendingIsTheEnd(String part) throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream), new Script(LONG));
        Client client = rig.client()) {
      client.write(part);
      client.socket.shutdownOutput();
      assertNull(client.answer());
      assertFalse(client.socket.isClosed());
    }
  }
}
