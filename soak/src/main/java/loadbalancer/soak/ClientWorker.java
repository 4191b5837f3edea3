package loadbalancer.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import loadbalancer.soak.ClientConnection.Response;
import loadbalancer.soak.RequestRecord.Outcome;
import org.apache.commons.rng.UniformRandomProvider;

/** A client of one proxy. It sends requests one after the other, with randomly chosen behavior. */
final class ClientWorker implements Runnable {

  /** Time that clients wait after the deadline, to tell a late response from a lost one. */
  private static final long WAIT_AFTER_DEADLINE_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  private static final long RECONNECT_DELAY_MILLIS = 50;

  /** Time after which a proxy may close an idle connection. */
  private static final long IDLE_CLOSE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final ProxyNode proxy;
  private final Deployment deployment;
  private final AttemptLog attempts;
  private final UniformRandomProvider random;
  private final double meanGapMillis;
  private final AtomicLong lastTraceNumber;
  private final BooleanSupplier running;
  private final List<RequestRecord> records = new ArrayList<>();
  private final List<Violation> violations = new ArrayList<>();
  private ClientConnection connection;
  private int connectedIncarnation;
  private boolean hasSentRequest;
  private long connectStartedNanos;
  private long lastResponseNanos;

  ClientWorker(
      ProxyNode proxy,
      Deployment deployment,
      AttemptLog attempts,
      UniformRandomProvider random,
      double requestsPerSecond,
      AtomicLong lastTraceNumber,
      BooleanSupplier running) {
    this.proxy = proxy;
    this.deployment = deployment;
    this.attempts = attempts;
    this.random = random;
    this.lastTraceNumber = lastTraceNumber;
    this.running = running;
    meanGapMillis = TimeUnit.SECONDS.toMillis(1) / requestsPerSecond;
  }

  /** Returns the requests of this client. May be called only after its thread has ended. */
  List<RequestRecord> records() {
    return records;
  }

  /** Returns the violations that are not derived from the request records. */
  List<Violation> violations() {
    return violations;
  }

  @Override
  public void run() {
    try {
      while (running.getAsBoolean()) {
        sendOne();
        Thread.sleep((long) (-Math.log(1 - random.nextDouble()) * meanGapMillis));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      disconnect();
    }
  }

  private void sendOne() throws InterruptedException {
    if (!connect()) {
      Thread.sleep(RECONNECT_DELAY_MILLIS);
      return;
    }
    int behavior = random.nextInt(100);
    try {
      if (behavior < 4) {
        disconnectEarly();
      } else if (behavior < 8) {
        pipeline();
      } else if (behavior < 11) {
        disconnect();
        IncompleteRequestClient.check(proxy, deployment, random).ifPresent(violations::add);
      } else {
        exchange(newRecord(), behavior < 15);
      }
      if (behavior > 92) {
        disconnect();
      }
    } catch (IOException e) {
      disconnect();
    }
  }

  private boolean connect() {
    if (connection != null) {
      return true;
    }
    if (!proxy.isConnectable()) {
      return false;
    }
    try {
      connectStartedNanos = System.nanoTime();
      connectedIncarnation = proxy.incarnation();
      connection = new ClientConnection(proxy.process().port());
      hasSentRequest = false;
      return true;
    } catch (IOException e) {
      return false; // The proxy is not listening, so it has not accepted a request.
    }
  }

  private void disconnect() {
    if (connection != null) {
      connection.close();
      connection = null;
    }
  }

  private RequestRecord newRecord() {
    RequestKind kind = deployment.kinds().get(random.nextInt(deployment.kinds().size()));
    long remaining = kind.deadlineMillis() * (50 + random.nextInt(51)) / 100;
    String traceId = "q" + lastTraceNumber.incrementAndGet();
    RequestRecord record =
        new RequestRecord(traceId, kind, proxy.index(), proxy.incarnation(), remaining);
    records.add(record);
    return record;
  }

  private void send(RequestRecord record, boolean inPieces) throws IOException {
    record.firstOnConnection = !hasSentRequest;
    String text = record.toHttp();
    int cut = inPieces ? 1 + random.nextInt(text.length() - 1) : text.length();
    record.writeStartedNanos = System.nanoTime();
    record.atRiskSinceNanos =
        record.firstOnConnection ? connectStartedNanos : record.writeStartedNanos;
    connection.write(text.substring(0, cut));
    if (cut < text.length()) {
      sleep(random.nextInt(100));
      record.writeStartedNanos = System.nanoTime();
      connection.write(text.substring(cut));
    }
    record.sentNanos = System.nanoTime();
    hasSentRequest = true;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void exchange(RequestRecord record, boolean inPieces) throws IOException {
    send(record, inPieces);
    receive(record);
    if (wasClosedBeforeRead(record)) {
      resend(record);
    }
  }

  /** Returns whether the proxy closed the connection, as permitted, before it read the request. */
  private boolean wasClosedBeforeRead(RequestRecord record) {
    boolean isClosePermitted =
        proxy.isEndingOrDown()
            || proxy.incarnation() != connectedIncarnation
            || record.sentNanos - lastResponseNanos > IDLE_CLOSE_NANOS;
    return record.outcome == Outcome.CLOSED
        && !record.firstOnConnection
        && isClosePermitted
        && attempts.of(record.traceId).isEmpty();
  }

  /** Sends an unread request again on another connection, as real clients do. */
  private void resend(RequestRecord record) throws IOException {
    record.events.add("connection closed before it was read, sent again on another connection");
    record.outcome = Outcome.NOT_SENT;
    if (connect()) {
      send(record, false);
      receive(record);
    }
  }

  private void receive(RequestRecord record) {
    Response response = connection.read(record.deadlineNanos() + WAIT_AFTER_DEADLINE_NANOS);
    record.end(response);
    lastResponseNanos = record.endNanos;
    if (record.outcome != Outcome.RESPONSE || !response.keepAlive()) {
      disconnect();
    }
  }

  private void disconnectEarly() throws IOException {
    RequestRecord record = newRecord();
    send(record, false);
    sleep(random.nextInt(60));
    disconnect();
    record.closedNanos = System.nanoTime();
    record.endNanos = record.closedNanos;
    record.outcome = Outcome.LEFT;
  }

  /** Sends several requests at once. After a close, those without an attempt count as not sent. */
  private void pipeline() throws IOException {
    List<RequestRecord> burst = new ArrayList<>();
    StringBuilder text = new StringBuilder();
    int size = 2 + random.nextInt(4);
    for (int i = 0; i < size; i++) {
      RequestRecord record = newRecord();
      record.firstOnConnection = !hasSentRequest && i == 0;
      record.writeStartedNanos = System.nanoTime();
      record.atRiskSinceNanos = hasSentRequest ? record.writeStartedNanos : connectStartedNanos;
      burst.add(record);
      text.append(record.toHttp());
    }
    connection.write(text.toString());
    hasSentRequest = true;
    burst.forEach(record -> record.sentNanos = System.nanoTime());
    for (RequestRecord record : burst) {
      if (connection == null) {
        boolean hasArrived = !attempts.of(record.traceId).isEmpty();
        record.outcome = hasArrived ? Outcome.CLOSED : Outcome.NOT_SENT;
        record.endNanos = System.nanoTime();
      } else {
        receive(record);
        markIfClosedBeforeRead(burst, record);
      }
    }
  }

  /** Marks the first request as not sent if the proxy closed, as permitted, before reading it. */
  private void markIfClosedBeforeRead(List<RequestRecord> burst, RequestRecord record) {
    if (record == burst.get(0) && wasClosedBeforeRead(record)) {
      record.events.add("connection closed before the burst was read, not sent again");
      record.outcome = Outcome.NOT_SENT;
    }
  }
}
