package loadbalancer.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * A client's request and its outcome. Only the client's thread writes it; other threads read it
 * after that thread has ended. Times are values of {@link System#nanoTime()}; 0 means unset.
 */
final class RequestRecord {

  /** The outcome of a request for its client. */
  enum Outcome {
    /**
     * The request was not sent completely, or the proxy closed the connection without reading it.
     */
    NOT_SENT,
    /** A complete response was received. */
    RESPONSE,
    /** The connection was closed or reset before a complete response was received. */
    CLOSED,
    /** No complete response was received by the end of the wait after the deadline. */
    UNANSWERED,
    /** The client closed the connection without waiting for the response. */
    LEFT
  }

  final String traceId;
  final RequestKind kind;
  final int proxy;
  final int incarnation;
  final long remainingMillis;
  final List<String> events = new ArrayList<>(2);
  Outcome outcome = Outcome.NOT_SENT;
  boolean firstOnConnection;

  /**
   * The time since which a SIGKILL of the proxy loses the request: right before the write of its
   * first byte or, for the first request of a connection, before the connection was opened.
   */
  long atRiskSinceNanos;

  /** The time right before the write of the request's last byte. */
  long writeStartedNanos;

  /** A time after that write; a busy machine may delay the reading of the clock. */
  long sentNanos;

  long endNanos;
  long closedNanos;
  int status;
  String body = "";

  RequestRecord(String traceId, RequestKind kind, int proxy, int incarnation, long remaining) {
    this.traceId = traceId;
    this.kind = kind;
    this.proxy = proxy;
    this.incarnation = incarnation;
    this.remainingMillis = remaining;
  }

  /** Records the result of waiting for the response, which has just become known. */
  void end(ClientConnection.Response response) {
    endNanos = System.nanoTime();
    status = response.status();
    body = response.body();
    outcome =
        switch (response.end()) {
          case RESPONSE -> Outcome.RESPONSE;
          case CLOSED -> Outcome.CLOSED;
          case TIMEOUT -> Outcome.UNANSWERED;
        };
  }

  /** Returns the HTTP/1.1 encoding of the request. */
  String toHttp() {
    StringBuilder text = new StringBuilder();
    boolean isGet = kind.effect() == RequestKind.Effect.IDEMPOTENT;
    text.append(isGet ? "GET" : "POST").append(" /api HTTP/1.1\r\nHost: backend.local\r\n");
    text.append("X-Trace-Id: ").append(traceId).append("\r\nX-Qos: ").append(kind.name());
    text.append("\r\nX-Customer: all\r\nX-Expires-In-Ms: ").append(remainingMillis);
    if (kind.effect() == RequestKind.Effect.DEDUPLICATED) {
      text.append("\r\nIdempotency-Key: key-").append(traceId);
    }
    if (isGet) {
      return text.append("\r\n\r\n").toString();
    }
    String content = "content of " + traceId;
    text.append("\r\nContent-Length: ").append(content.length()).append("\r\n\r\n");
    return text.append(content).toString();
  }

  /** Returns the deadline that the request states. The client waits at least until then. */
  long deadlineNanos() {
    return sentNanos + remainingMillis * 1_000_000;
  }
}
