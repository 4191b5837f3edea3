package loadbalancer.telemetry;

/**
 * What has happened on connections to endpoints in the current period, for log lines. Confined to
 * the event loop.
 */
public final class UpstreamActivity {

  private int surplusResponses;

  /**
   * Counts a connection that was closed because bytes followed a complete response, so that they
   * could have been taken for the response to the next request.
   */
  public void surplusResponseReceived() {
    surplusResponses++;
  }

  /** Appends the figures as fields of a log line. */
  void appendTo(StringBuilder line) {
    if (surplusResponses > 0) {
      line.append(" surplus_responses=").append(surplusResponses);
    }
  }

  /** Starts a new period. */
  void startPeriod() {
    surplusResponses = 0;
  }
}
