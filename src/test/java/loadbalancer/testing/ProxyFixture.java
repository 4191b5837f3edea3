package loadbalancer.testing;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.config.BalancerConfig;
import loadbalancer.decision.LoadBalancingEngine;
import loadbalancer.decision.api.Action;
import loadbalancer.decision.api.Action.FailRequest;
import loadbalancer.decision.api.Action.StartAttempt;
import loadbalancer.decision.api.DecisionEngine;
import loadbalancer.decision.api.Endpoint;
import loadbalancer.decision.api.Event;
import loadbalancer.decision.api.Event.AttemptEnded;
import loadbalancer.decision.api.Event.EndpointListUpdate;
import loadbalancer.decision.api.Event.RequestArrived;
import loadbalancer.proxy.ProxyServer;

/**
 * A proxy on ephemeral loopback ports, with a scripted or a real decision engine, and clients for
 * it.
 */
public final class ProxyFixture implements AutoCloseable {

  /**
   * Limit on the wait for an expected event, in seconds. It exceeds the duration of any such wait,
   * and no test passes because it expires.
   */
  public static final int TIMEOUT_SECONDS = 60;

  private static final String REQUEST_CLASS_FORMAT =
      """
      {"name":"%s","effect":"%s","dedup-scope":"cell",\
      "window-ns":2000000000,"aim-ns":20000000000,"deadline-ns":40000000000}\
      """;

  /** A decision engine that follows a script and records its events. */
  public static final class ScriptedEngine implements DecisionEngine {

    /** The reaction of the engine to an event, which runs on the event loop. */
    public interface Script {
      void handle(Event event, Consumer<Action> actions);
    }

    /** The events that {@link #awaitEvent} has neither returned nor skipped yet. */
    public final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    /** The ids of all endpoints that the engine was notified of, each once, in order of arrival. */
    public final List<Long> endpointIds = new ArrayList<>();

    private final Script script;

    /** Creates an engine that runs a script at every event. */
    public ScriptedEngine(Script script) {
      this.script = script;
    }

    /**
     * Creates an engine that starts one attempt of every request, at the first endpoint, and fails
     * the request if the attempt does not complete it.
     */
    public ScriptedEngine(long timeoutNanos) {
      this.script =
          (event, actions) -> {
            if (event instanceof RequestArrived request) {
              actions.accept(
                  new StartAttempt(request.requestId(), endpointIds.get(0), timeoutNanos));
            } else if (event instanceof AttemptEnded attempt && !attempt.isRequestAnswered()) {
              actions.accept(new FailRequest(attempt.requestId()));
            }
          };
    }

    @Override
    public void handle(long nowNanos, Event event, Consumer<Action> actions) {
      if (event instanceof EndpointListUpdate update) {
        update.endpoints().stream()
            .map(Endpoint::id)
            .filter(id -> !endpointIds.contains(id))
            .forEach(endpointIds::add);
      }
      events.add(event);
      script.handle(event, actions);
    }

    /** Waits for the next event of a type, and skips all others before it. */
    public <T extends Event> T awaitEvent(Class<T> type) throws InterruptedException {
      while (true) {
        Event event = events.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertNotNull(event, "no " + type.getSimpleName() + " arrived");
        if (type.isInstance(event)) {
          return type.cast(event);
        }
      }
    }
  }

  /** A client's connection to a proxy. */
  public static final class Client implements AutoCloseable {

    /** The socket, for tests that close, reset or fill it. */
    public final Socket socket;

    private final InputStream in;

    /** Connects to a proxy. */
    public Client(ProxyServer server) throws IOException {
      socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
      socket.setSoTimeout(TIMEOUT_SECONDS * 1000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a text unchanged. */
    public Client write(String text) throws IOException {
      // Obtained before the write, as the connection may be closed in response to it.
      OutputStream out = socket.getOutputStream();
      out.write(text.getBytes(StandardCharsets.ISO_8859_1));
      out.flush();
      return this;
    }

    /** Waits for the next response. Returns null once the proxy has closed the connection. */
    public String readResponse() throws IOException {
      return FakeServer.MessageReader.read(in);
    }

    /** Sends a request and returns the response. */
    public String exchange(String request) throws IOException {
      return write(request).readResponse();
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** The proxy, which is listening. */
  public final ProxyServer server;

  /** Starts a proxy with this decision engine, which stays in use even after it has thrown. */
  public ProxyFixture(BalancerConfig config, DecisionEngine engine) throws IOException {
    server = ProxyServer.prepare(config, generation -> engine, 0);
    server.listen();
  }

  /** Starts a proxy with the real decision engine. */
  public ProxyFixture(BalancerConfig config) throws IOException {
    server =
        ProxyServer.prepare(
            config,
            generation -> new LoadBalancingEngine(config.settings(), config.seed() + generation),
            0);
    server.listen();
  }

  /** Connects a client. */
  public Client client() throws IOException {
    return new Client(server);
  }

  @Override
  public void close() {
    server.shutDownNow();
  }

  /** Returns a GET request of an idempotent class; each header line ends with CRLF. */
  public static String get(String traceId, String headerLines) {
    return "GET /api?q=1 HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: "
        + traceId
        + "\r\nX-Qos: safe\r\n"
        + headerLines
        + "\r\n";
  }

  /** Returns a POST request of a class with idempotency keys; each header line ends with CRLF. */
  public static String post(String traceId, String headerLines, String body) {
    return "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: "
        + traceId
        + "\r\nX-Qos: keyed\r\n"
        + headerLines
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  /** Returns the JSON of an endpoint in discovery's list. */
  public static String endpointJson(String name, String address, String phase) {
    return """
    {"id":"%s","host_port":"%s","locality":"a","flavor":"m","cell":0,"phase":"%s",\
    "size":1.0,"up_since_ms":0}\
    """
        .formatted(name, address, phase);
  }

  /** Returns the JSON of discovery's endpoint list, or of changes to it if it is not complete. */
  public static String endpointListJson(int revision, boolean complete, String... members) {
    return """
    {"revision":%d,"complete":%b,"members":[%s]}\
    """
        .formatted(revision, complete, String.join(",", members));
  }

  /** Returns a configuration with polled discovery and the limits that most tests use. */
  public static BalancerConfig config(String discovery, String initialEndpoints)
      throws IOException {
    return config(discovery, initialEndpoints, "on_request", 200, 1024, "");
  }

  /** Returns the configuration that {@link #configText} states. */
  public static BalancerConfig config(
      String discovery,
      String initialEndpoints,
      String mode,
      int connectTimeoutMillis,
      int sockets,
      String moreFields)
      throws IOException {
    String configText =
        configText(discovery, initialEndpoints, mode, connectTimeoutMillis, sockets, moreFields);
    return BalancerConfig.parse(configText, Map.of());
  }

  /**
   * Returns the text of a configuration file.
   *
   * @param discovery host:port of the discovery agent
   * @param initialEndpoints the endpoint list that is known at the start
   * @param mode {@code on_request} or {@code pushed}
   * @param moreFields further fields of the file, each followed by a comma
   */
  public static String configText(
      String discovery,
      String initialEndpoints,
      String mode,
      int connectTimeoutMillis,
      int sockets,
      String moreFields) {
    return """
    {"name":"n0","listen":"127.0.0.1:0","discovery":"%s","seed":"8c1f30d27a5be964",\
    "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},%s"known":%s,\
    "settings":{"zone":"a","me":0,"registry-mode":"%s","categories":[%s,%s],\
    "limits":{"cancel":true,"probing":true,"peers":true,"second-copies":true,\
    "retry-after":true,"max-retry-after-ns":2000000000,"max-attempts":6,\
    "connect-timeout-ns":%d},"report":{"how":"answers"}}}\
    """
        .formatted(
            discovery,
            sockets,
            moreFields,
            initialEndpoints,
            mode,
            REQUEST_CLASS_FORMAT.formatted("safe", "idempotent"),
            REQUEST_CLASS_FORMAT.formatted("keyed", "deduplicated"),
            connectTimeoutMillis * 1_000_000L);
  }
}
