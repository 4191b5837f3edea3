package cloverpulley.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cloverpulley.Balancer.ClientGone;
import cloverpulley.Balancer.Outcome;
import cloverpulley.Balancer.Request;
import cloverpulley.Balancer.Send;
import cloverpulley.Balancer.Status;
import cloverpulley.serve.Rig.Client;
import cloverpulley.serve.Rig.Script;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Clients that leave, or end their sending and still listen, while their request waits or is out. */
@Timeout(value = 2 * Rig.LIMIT_S, unit = TimeUnit.SECONDS)
class LeavingTest {

  private static final String NOWHERE = "127.0.0.1:1";
  private static final long LONG = TimeUnit.SECONDS.toNanos(30);

  private static Config one(StubServer upstream) throws IOException {
    return Rig.config(NOWHERE, Rig.list(1, true, Rig.member("s-1", upstream.address(), "ready")));
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

  /** The request and the end of the sending come in one go: there is time enough to send it on. */
  @Test
  void aRequestThatEndsTheSendingIsServed() throws Exception {
    try (StubServer upstream = StubServer.answering(StubServer.ok("x")); Rig rig = new Rig(one(upstream), new Script(LONG));
        Client client = rig.client()) {
      client.write(Rig.get("t", ""));
      client.socket.shutdownOutput();
      assertTrue(client.answer().endsWith("\r\n\r\nx"));
      assertNull(client.answer());
    }
  }

  /** Nothing may start 0.3 s after the leaving: what waits its turn behind a slow request is answered, not sent. */
  @Test
  void whatWaitsItsTurnBehindASlowRequestIsNotSentOnceItsClientHasLeft() throws Exception {
    CountDownLatch cue = new CountDownLatch(1);
    try (StubServer upstream = onCue(cue); Rig rig = new Rig(one(upstream), new Script(LONG)); Client client = rig.client()) {
      client.write(Rig.get("t1", "") + Rig.get("t2", ""));
      assertNotNull(upstream.requests.poll(Rig.LIMIT_S, TimeUnit.SECONDS));
      client.socket.shutdownOutput();
      awaitLeft(rig);
      Thread.sleep(TimeUnit.NANOSECONDS.toMillis(2 * Node.LEFT_NANOS)); // The time itself is what is tested.
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
