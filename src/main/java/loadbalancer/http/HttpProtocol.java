package loadbalancer.http;

/** The paths, headers and size limits that clients, this proxy and upstreams agree on. */
public final class HttpProtocol {

  /** The path of client requests. */
  public static final String API_PATH = "/api";

  /** The path of health checks of this proxy and of upstreams. */
  public static final String HEALTH_PATH = "/healthz";

  /**
   * The id of a request. Every request of a client has an id of its own, and so has each retry by
   * the client.
   */
  public static final String TRACE_ID_HEADER = "X-Trace-Id";

  /** The name of the request's class, as in the settings. */
  public static final String CLASS_HEADER = "X-Qos";

  /** The name of the tenant, as in the settings. */
  public static final String TENANT_HEADER = "X-Customer";

  /** The time for which the sender will wait for the response, in whole milliseconds. */
  public static final String TIMEOUT_HEADER = "X-Expires-In-Ms";

  /** Marks a client's retry of an earlier request, with the value 1. */
  public static final String RETRY_HEADER = "X-Second-Try";

  /**
   * The processing time that the request is expected to take on a standard core, in whole
   * microseconds.
   */
  public static final String WORK_HINT_HEADER = "X-Size-Hint";

  /** The key by which upstreams recognise and drop the retry of a request that has run. */
  public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  /** Marks the response of an upstream that rejected a request without running it; value 1. */
  public static final String NEVER_RAN_HEADER = "X-Never-Ran";

  /** The cookie that holds the affinity key. Requests with equal keys prefer the same endpoints. */
  public static final String AFFINITY_COOKIE = "sid";

  /** The maximum size of the body of a request or a response, in bytes. */
  public static final int MAX_BODY_BYTES = 64 * 1024;

  private HttpProtocol() {}
}
