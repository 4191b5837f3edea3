package loadbalancer.downstream;

/** The handler of the requests that the listener has received. */
public interface RequestHandler {

  /**
   * Accepts a request, which gets exactly one final response, possibly before this method returns.
   */
  void accept(DownstreamRequest request);

  /**
   * Notifies the handler that the client of a request without a response has closed its connection.
   * The client needs no response any more.
   */
  void clientDisconnected(String traceId);

  /**
   * Notifies the handler that the client of a request without a response has half-closed its
   * connection. It may or may not still read the response.
   */
  void clientHalfClosed(String traceId);

  /**
   * Responds to a request with an error at once and cancels its attempts, because the responses to
   * later requests of its client are overdue. Does nothing if the request is already completed.
   */
  void abort(String traceId);

  /**
   * Returns whether a request with this trace id, or an attempt of it, is in flight, or one may
   * have run recently for which running twice is not harmless.
   */
  boolean mustNotRunAgain(String traceId);

  /** Returns whether requests can be accepted. They may be rejected if no endpoint is ready. */
  boolean isReady();
}
