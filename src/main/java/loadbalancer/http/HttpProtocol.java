package loadbalancer.http;

/** The names that clients, this proxy and upstreams agree on: paths, headers and sizes. */
public final class HttpProtocol {

  /** Path of client requests. */
  public static final String API_PATH = "/api";

  /** Path of health checks, of this proxy and of upstreams. */
  public static final String HEALTH_PATH = "/healthz";

  /** Identifies a request; every client request and client retry has its own. */
  public static final String TRACE_ID_HEADER = "X-Trace-Id";

  /** Names the request's class, as in the settings. */
  public static final String CLASS_HEADER = "X-Qos";

  /** Names the tenant, as in the settings. */
  public static final String TENANT_HEADER = "X-Customer";

  /** How long the sender goes on waiting for the response, in whole milliseconds. */
  public static final String TIMEOUT_HEADER = "X-Expires-In-Ms";

  /** Set to 1 on a client's retry. */
  public static final String RETRY_HEADER = "X-Second-Try";

  /** The work that the request is expected to cost, in whole microseconds. */
  public static final String WORK_HINT_HEADER = "X-Size-Hint";

  /** Lets upstreams drop the retry of a request that has run. */
  public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  /** Set to 1 by an upstream that rejected a request without running it. */
  public static final String NEVER_RAN_HEADER = "X-Never-Ran";

  /** Cookie that names what the request is about; requests with equal values share endpoints. */
  public static final String AFFINITY_COOKIE = "sid";

  /** The largest body of a request or a response, in bytes. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  private HttpProtocol() {}
}
