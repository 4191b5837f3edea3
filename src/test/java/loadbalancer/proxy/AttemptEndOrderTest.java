package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.decision.api.Action.CancelAttempt;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.Action.WatchEndpoints;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.decision.api.UpdateKind;
import loadbalancer.testing.DiscoveryMessages;
import loadbalancer.testing.EventLoopStepQueue;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ProxyFixture;
import loadbalancer.testing.ProxyFixture.Client;
import loadbalancer.testing.ProxyFixture.ScriptedEngine;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Attempts with two outcomes in one turn of the event loop, in each order, and restarts of upstream
 * processes.
 */
@Timeout(value = 2 * ProxyFixture.TIMEOUT_SECONDS, unit = TimeUnit.SECONDS)
class AttemptEndOrderTest {

  private static final String UNREACHABLE = "127.0.0.1:1";
  private static final long TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long LONG_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final EventLoopStepQueue steps = new EventLoopStepQueue();

  /**
   * An upstream that handles each request by a script that the test passes to {@link #run}, which
   * returns once the script has run.
   */
  private static final class ControlledUpstream implements AutoCloseable {
    private final BlockingQueue<FakeServer.Script> scripts = new LinkedBlockingQueue<>();
    private final BlockingQueue<Boolean> done = new LinkedBlockingQueue<>();
    final FakeServer server =
        new FakeServer(
            connection -> {
              while (connection.readRequest() != null) {
                scripts.take().run(connection);
                done.add(true);
              }
            });

    ControlledUpstream() throws IOException {}

    void run(FakeServer.Script script) {
      scripts.add(script);
      try {
        assertNotNull(done.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    void awaitRequest() throws InterruptedException {
      assertNotNull(server.requests.poll(ProxyFixture.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Override
    public void close() throws IOException {
      server.close();
    }
  }

  private static void respond(FakeServer.Connection connection) throws IOException {
    connection.write(FakeServer.ok("first"));
  }

  /** Two outcomes of an attempt in the order in which they occur, and the status to be reported. */
  private enum OutcomePair {
    CANCEL_THEN_RESPONSE(AttemptStatus.CANCELLED, AttemptEndOrderTest::respond),
    CANCEL_THEN_RESET(AttemptStatus.CANCELLED, FakeServer.Connection::reset),
    RESPONSE_THEN_CANCEL(AttemptStatus.SUCCESS, AttemptEndOrderTest::respond),
    RESET_THEN_CANCEL(AttemptStatus.RESET, FakeServer.Connection::reset),
    RESPONSE_THEN_TIMEOUT(AttemptStatus.SUCCESS, AttemptEndOrderTest::respond),
    RESET_THEN_TIMEOUT(AttemptStatus.RESET, FakeServer.Connection::reset),
    TIMEOUT_THEN_RESPONSE(AttemptStatus.TIMEOUT, AttemptEndOrderTest::respond),
    TIMEOUT_THEN_RESET(AttemptStatus.TIMEOUT, FakeServer.Connection::reset),
    RESPONSE_THEN_RESET(
        AttemptStatus.SUCCESS,
        connection -> {
          respond(connection);
          connection.reset();
        });

    final AttemptStatus status;

    @SuppressWarnings("ImmutableEnumChecker") // Scripts are stateless.
    final FakeServer.Script upstream;

    OutcomePair(AttemptStatus status, FakeServer.Script upstream) {
      this.status = status;
      this.upstream = upstream;
    }

    boolean hasTimeout() {
      return name().contains("TIMEOUT");
    }
  }

  /**
   * Adds the steps that cause both outcomes in one turn of the event loop.
   *
   * @param secondTrigger sends the second trigger request if there are two
   */
  private void addSteps(OutcomePair outcomes, ControlledUpstream upstream, Client secondTrigger) {
    switch (outcomes) {
      case CANCEL_THEN_RESPONSE, CANCEL_THEN_RESET ->
          // The attempt is cancelled while the response or reset is unread in the kernel.
          steps.add(
              actions -> {
                upstream.run(outcomes.upstream);
                actions.accept(new CancelAttempt("r0", 0));
              });
      case RESPONSE_THEN_CANCEL, RESET_THEN_CANCEL -> {
        // Both are read before the engine handles either; the second trigger cancels the attempt.
        steps.add(
            actions -> {
              upstream.run(outcomes.upstream);
              write(secondTrigger, ProxyFixture.get("second", EventLoopStepQueue.TRIGGER_HEADER));
            });
        steps.add(actions -> actions.accept(new CancelAttempt("r0", 0)));
      }
      case RESPONSE_THEN_TIMEOUT, RESET_THEN_TIMEOUT ->
          // The timeout has passed too when the loop resumes, but the loop reads its sockets first.
          steps.add(
              actions -> {
                upstream.run(outcomes.upstream);
                passTimeout();
              });
      case TIMEOUT_THEN_RESPONSE, TIMEOUT_THEN_RESET -> {
        // The timeout has passed at the second trigger, in the same turn, after all sockets were
        // read.
        steps.add(
            actions -> {
              passTimeout();
              write(secondTrigger, ProxyFixture.get("second", EventLoopStepQueue.TRIGGER_HEADER));
            });
        steps.add(actions -> upstream.run(outcomes.upstream));
      }
      case RESPONSE_THEN_RESET -> steps.add(actions -> upstream.run(outcomes.upstream));
      default -> throw new IllegalStateException();
    }
  }

  private static void passTimeout() {
    EventLoopStepQueue.sleep(TimeUnit.NANOSECONDS.toMillis(TIMEOUT_NANOS) + 50);
  }

  private static void write(Client client, String text) {
    try {
      client.write(text);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String endpointList(FakeServer upstream) {
    return ProxyFixture.endpointListJson(
        1, true, ProxyFixture.endpointJson("s-1", upstream.address(), "ready"));
  }

  @ParameterizedTest
  @EnumSource(OutcomePair.class)
  void reportsTheFirstOfTwoEndsOfAnAttempt(OutcomePair outcomes) throws Exception {
    ScriptedEngine engine =
        steps.engine("s-1", outcomes.hasTimeout() ? TIMEOUT_NANOS : LONG_TIMEOUT_NANOS);
    try (ControlledUpstream upstream = new ControlledUpstream();
        ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(UNREACHABLE, endpointList(upstream.server)), engine);
        Client client = proxy.client();
        Client trigger = proxy.client();
        Client secondTrigger = proxy.client()) {
      addSteps(outcomes, upstream, secondTrigger);
      client.write(ProxyFixture.get("t", ""));
      upstream.awaitRequest();
      trigger.exchange(ProxyFixture.get("trigger-1", EventLoopStepQueue.TRIGGER_HEADER));
      AttemptEnded first = engine.awaitEvent(AttemptEnded.class);
      assertEquals(outcomes.status, first.status());
      String response = client.readResponse();
      boolean isSuccess = outcomes.status == AttemptStatus.SUCCESS;
      assertTrue(response.startsWith(isSuccess ? "HTTP/1.1 200 " : "HTTP/1.1 502 "), response);
      // The next request gets its own response, on whichever connection.
      client.write(ProxyFixture.get("t2", ""));
      upstream.awaitRequest();
      upstream.run(connection -> connection.write(FakeServer.ok("second")));
      assertTrue(client.readResponse().endsWith("\r\n\r\nsecond"), "its own response");
      assertNotEquals(
          first.requestId(),
          engine.awaitEvent(AttemptEnded.class).requestId(),
          "one end is reported for each attempt");
    }
  }

  /**
   * The whole request is sent, and the upstream resets the connection after reading all but the
   * last byte. Unlike a request whose connection was not established, it may have run.
   */
  @Test
  void reportsAResetBeforeTheLastByteWasReadAsReset() throws Exception {
    ScriptedEngine engine = steps.engine("s-1", LONG_TIMEOUT_NANOS);
    String body = "x".repeat(1000);
    try (FakeServer upstream =
            new FakeServer(
                connection -> {
                  connection.readUntil(body.substring(1));
                  connection.reset();
                });
        ProxyFixture proxy =
            new ProxyFixture(ProxyFixture.config(UNREACHABLE, endpointList(upstream)), engine);
        Client client = proxy.client()) {
      String response = client.exchange(ProxyFixture.post("t", "Idempotency-Key: k\r\n", body));
      assertTrue(response.startsWith("HTTP/1.1 502 "));
      assertEquals(AttemptStatus.RESET, engine.awaitEvent(AttemptEnded.class).status());
      assertEquals(1, upstream.connections.size(), "not sent again");
    }
  }

  /**
   * Returns an upstream whose first process stops after one response: it sends nothing more and
   * does not close the connection.
   */
  private static FakeServer restartingUpstream() throws IOException {
    AtomicInteger connections = new AtomicInteger();
    return new FakeServer(
        connection -> {
          boolean isFirst = connections.incrementAndGet() == 1;
          for (int i = 0; connection.readRequest() != null; i++) {
            if (!isFirst || i == 0) {
              connection.write(FakeServer.ok(isFirst ? "before" : "next"));
            }
          }
        });
  }

  /**
   * Returns a discovery server that reports the upstream's restart in two updates, once {@code
   * restarted} reaches zero.
   *
   * @param newName the upstream's name after the restart
   * @param firstState state of {@code s-1} in the first update: gone, or ready after a restart
   */
  private static FakeServer discovery(
      FakeServer upstream, String newName, String firstState, CountDownLatch restarted)
      throws IOException {
    return new FakeServer(
        connection -> {
          connection.readRequest();
          restarted.await();
          String restartedMember =
              ProxyFixture.endpointJson(newName, upstream.address(), "ready")
                  .replace("\"up_since_ms\":0", "\"up_since_ms\":" + System.currentTimeMillis());
          String firstUpdate =
              firstState.equals("ready")
                  ? restartedMember
                  : ProxyFixture.endpointJson("s-1", upstream.address(), firstState);
          connection.write(
              DiscoveryMessages.watchResponse(
                  ProxyFixture.endpointListJson(2, false, firstUpdate)));
          connection.write(
              DiscoveryMessages.chunk(ProxyFixture.endpointListJson(3, false, restartedMember)));
          connection.awaitClose();
        });
  }

  /**
   * Returns an engine that watches discovery, and starts attempts at {@code s-1} until the restart
   * and at the new name after it.
   */
  private static ScriptedEngine engineFollowingRestart(String newName, CountDownLatch restarted) {
    return new ScriptedEngine(
        (event, actions) -> {
          if (event instanceof EndpointListUpdate update && update.kind() == UpdateKind.CACHED) {
            actions.accept(new WatchEndpoints(true));
          } else if (event instanceof RequestArrived request) {
            String endpoint = restarted.getCount() > 0 ? "s-1" : newName;
            actions.accept(
                new StartAttempt(request.requestId(), DiscoveryMessages.endpointId(endpoint), 0));
          }
        });
  }

  /** An upstream restarts at the address of the previous one, under the same or another name. */
  @ParameterizedTest
  @CsvSource({"s-1,gone", "s-1,ready", "s-2,gone"})
  void opensANewConnectionToARestartedUpstream(String newName, String firstState) throws Exception {
    CountDownLatch restarted = new CountDownLatch(1);
    ScriptedEngine engine = engineFollowingRestart(newName, restarted);
    try (FakeServer upstream = restartingUpstream();
        FakeServer discovery = discovery(upstream, newName, firstState, restarted);
        ProxyFixture proxy =
            new ProxyFixture(
                ProxyFixture.config(discovery.address(), endpointList(upstream)), engine);
        Client client = proxy.client()) {
      assertTrue(client.exchange(ProxyFixture.get("t1", "")).endsWith("\r\n\r\nbefore"));
      EventLoopStepQueue.sleep(50); // The upstream connection is reusable by then.
      restarted.countDown();
      for (UpdateKind kind : List.of(UpdateKind.CACHED, UpdateKind.DELTA, UpdateKind.DELTA)) {
        assertEquals(kind, engine.awaitEvent(EndpointListUpdate.class).kind());
      }
      assertTrue(client.exchange(ProxyFixture.get("t2", "")).endsWith("\r\n\r\nnext"));
    }
  }
}
