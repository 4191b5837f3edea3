package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.api.Action.RejectRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.ClientDisconnected;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import loadbalancer.testing.UnresponsiveUpstream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Clients that leave, or end their sending and still listen, while their request waits or is out. */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class ClientDisconnectTest {

  private static final String NOWHERE = "127.0.0.1:1";
  private static final long LONG = TimeUnit.SECONDS.toNanos(30);

  private static BalancerConfig one(FakeServer upstream) throws IOException {
    return ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready")));
  }

  private static BalancerConfig two(FakeServer first, FakeServer second) throws IOException {
    return ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", first.address(), "ready"),
        ProxyFixture.member("s-2", second.address(), "ready")));
  }

  /** Answers each request once told to. */
  private static FakeServer onCue(CountDownLatch cue) throws IOException {
    return new FakeServer(c -> {
      while (c.next() != null) {
        cue.await();
        c.write(FakeServer.ok("x"));
      }
    });
  }

  /** A module that holds what comes: nobody waits for it any more, and it is not sent on. */
  @Test
  void aClientThatLeavesWhileItsRequestIsHeldIsSeenToLeave() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> { });
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream), module)) {
      try (Client client = rig.client()) {
        client.write(ProxyFixture.get("t", ""));
        module.next(RequestArrived.class);
      }
      module.next(ClientDisconnected.class);
    }
  }

  /** With a second request behind it the connection was not read any more, and its end not seen. */
  @Test
  void aClientThatLeavesWithAnotherRequestWaitingIsSeenToLeave() throws Exception {
    ScriptedEngine module = new ScriptedEngine((event, out) -> { });
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream), module)) {
      try (Client client = rig.client()) {
        client.write(ProxyFixture.get("t1", ""));
        module.next(RequestArrived.class);
        client.write(ProxyFixture.get("t2", "")).write(ProxyFixture.get("t3", ""));
      }
      module.next(ClientDisconnected.class);
    }
  }

  /** Its client left between two attempts: the module is not asked for the next one. */
  @Test
  void anAttemptThatFailsAfterItsClientHasLeftIsTheLast() throws Exception {
    CountDownLatch cue = new CountDownLatch(1);
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), LONG));
      } else if (event instanceof AttemptEnded o && !o.finished()) {
        out.accept(new StartAttempt(o.requestId(), DiscoveryMessages.number("s-1"), LONG));
      }
    });
    try (FakeServer upstream = new FakeServer(c -> {
      while (c.next() != null) {
        cue.await();
        c.write("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
      }
    }); ProxyFixture rig = new ProxyFixture(one(upstream), module); Client client = rig.client()) {
      client.write(ProxyFixture.get("t", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      client.socket.shutdownOutput();
      awaitLeft(rig);
      cue.countDown();
      AttemptEnded outcome = module.next(AttemptEnded.class);
      assertEquals(AttemptStatus.ERROR, outcome.status());
      assertTrue(outcome.finished(), "no more is wanted of the module");
      assertTrue(client.answer().startsWith("HTTP/1.1 500 "), "it may have run");
      assertNull(client.answer());
      assertNull(upstream.requests.poll(), "not sent again");
    }
  }

  /** Waits until the balancer has read the end: it has then looked at all sockets once more, and carried out what came of it. */
  private static void awaitLeft(ProxyFixture rig) throws IOException {
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
    ScriptedEngine module = new ScriptedEngine(LONG);
    try (FakeServer upstream = onCue(cue); ProxyFixture rig = new ProxyFixture(one(upstream), module); Client client = rig.client()) {
      client.write(ProxyFixture.get("t", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
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
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        if (leaving.get() != null) {
          how.leave(leaving.getAndSet(null));
        }
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), LONG));
      }
    });
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream), module);
        Client client = rig.client(); Client other = rig.client()) {
      leaving.set(client);
      client.write(ProxyFixture.get("leaves", ""));
      assertEquals(AttemptStatus.NOT_SENT, module.next(AttemptEnded.class).status());
      if (how == Leaving.ENDS_ITS_SENDING) {
        assertTrue(client.answer().startsWith("HTTP/1.1 503 "), "a final answer, and a harmless one");
        assertNull(client.answer());
      }
      assertTrue(other.ask(ProxyFixture.get("stays", "")).startsWith("HTTP/1.1 200 "));
      assertTrue(upstream.requests.take().contains("X-Trace-Id: stays\r\n"), "the only one that was sent");
    }
  }

  /** The same for a further attempt: a retry, decided in the turn in which the client leaves. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void aRetryIsNotSentOnceItsClientHasLeft(Leaving how) throws Exception {
    AtomicReference<Client> leaving = new AtomicReference<>();
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), LONG));
      } else if (event instanceof AttemptEnded o && o.attempt() == 0) {
        how.leave(leaving.get());
        out.accept(new StartAttempt(o.requestId(), DiscoveryMessages.number("s-2"), LONG));
      }
    });
    try (FakeServer full = FakeServer.answering("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n");
        FakeServer second = FakeServer.answering(FakeServer.ok("x"));
        ProxyFixture rig = new ProxyFixture(two(full, second), module); Client client = rig.client()) {
      leaving.set(client);
      client.write(ProxyFixture.get("t", ""));
      assertEquals(AttemptStatus.REJECTED, module.next(AttemptEnded.class).status());
      AttemptEnded further = module.next(AttemptEnded.class);
      assertEquals(AttemptStatus.NOT_SENT, further.status());
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
    ScriptedEngine module = new ScriptedEngine((event, out) -> {
      if (event instanceof RequestArrived r && r.workHintNanos() == 0) {
        out.accept(new StartAttempt(r.requestId(), DiscoveryMessages.number("s-1"), LONG));
      } else if (event instanceof RequestArrived r) {
        Leaving.ENDS_ITS_SENDING.leave(leaving.get());
        out.accept(new StartAttempt("r0", DiscoveryMessages.number("s-2"), LONG));
        out.accept(new RejectRequest(r.requestId(), 0));
      }
    });
    try (FakeServer first = onCue(cue); FakeServer second = FakeServer.answering(FakeServer.ok("y"));
        ProxyFixture rig = new ProxyFixture(two(first, second), module); Client client = rig.client(); Client other = rig.client()) {
      leaving.set(client);
      client.write(ProxyFixture.get("t", ""));
      assertNotNull(first.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      assertTrue(other.ask(ProxyFixture.get("cue", "X-Size-Hint: 7\r\n")).startsWith("HTTP/1.1 429 "));
      AttemptEnded copy = module.next(AttemptEnded.class);
      assertEquals(AttemptStatus.NOT_SENT, copy.status());
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
    ScriptedEngine module = new ScriptedEngine(0);
    try (UnresponsiveUpstream upstream = new UnresponsiveUpstream();
        ProxyFixture rig = new ProxyFixture(ProxyFixture.config(NOWHERE, ProxyFixture.list(1, true, ProxyFixture.member("s-1", upstream.address(), "ready")), "on_request",
            1000 * ProxyFixture.TIMEOUT_SECONDS, 1024, ""), module); Client client = rig.client()) {
      client.write(ProxyFixture.get("t", ""));
      module.next(RequestArrived.class);
      client.socket.shutdownOutput();
      assertTrue(client.answer().startsWith("HTTP/1.1 503 "), "it has not run");
      assertNull(client.answer());
      module.next(ClientDisconnected.class);
      assertEquals(AttemptStatus.NOT_SENT, module.next(AttemptEnded.class).status());
    }
  }

  /** Nothing starts for a client that has left: what waits its turn behind a slow request is answered, not sent. */
  @Test
  void whatWaitsItsTurnBehindASlowRequestIsNotSentOnceItsClientHasLeft() throws Exception {
    CountDownLatch cue = new CountDownLatch(1);
    try (FakeServer upstream = onCue(cue); ProxyFixture rig = new ProxyFixture(one(upstream), new ScriptedEngine(LONG)); Client client = rig.client()) {
      client.write(ProxyFixture.get("t1", "") + ProxyFixture.get("t2", ""));
      assertNotNull(upstream.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
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
    try (FakeServer upstream = FakeServer.answering(FakeServer.ok("x")); ProxyFixture rig = new ProxyFixture(one(upstream), new ScriptedEngine(LONG));
        Client client = rig.client()) {
      client.write(part);
      client.socket.shutdownOutput();
      assertNull(client.answer());
      assertFalse(client.socket.isClosed());
    }
  }
}
