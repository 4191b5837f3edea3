package loadbalancer.downstream;

/** Takes over the requests that the listener has received. */
public interface RequestHandler {

  /** Accepts a request; it gets exactly one final response, possibly before this returns. */
  void accept(DownstreamRequest request);

  /**
   * The client of a request without a response has closed its connection; none is owed any more.
   */
  void clientDisconnected(String traceId);

  /**
   * The client of a request without a response has ended its sending, and may or may not still
   * read.
   */
  void clientHalfClosed(String traceId);

  /**
   * The client waits for responses that come behind that of this request: it has to be completed
   * now, whatever becomes of it. A no-op where it is completed.
   */
  void abort(String traceId);

  /** Whether a request with this trace id is in flight, or an attempt of it is. */
  boolean isInFlight(String traceId);

  /** Whether a request that arrived now could be served. */
  boolean canServe();
}
