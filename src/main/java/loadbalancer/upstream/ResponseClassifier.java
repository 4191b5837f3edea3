package loadbalancer.upstream;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import loadbalancer.decision.api.AttemptStatus;
import loadbalancer.http.HttpProtocol;

/** Maps a response to the status of its attempt. */
final class ResponseClassifier {

  private static final String NEVER_RAN_VALUE = "1";

  private ResponseClassifier() {}

  /** Returns RESET if the response could not be decoded, and otherwise classifies its status. */
  static AttemptStatus classify(FullHttpResponse response) {
    if (!response.decoderResult().isSuccess()) {
      return AttemptStatus.RESET;
    }
    if (response.status().equals(HttpResponseStatus.OK)) {
      return AttemptStatus.SUCCESS;
    }
    return isRejection(response) ? AttemptStatus.REJECTED : AttemptStatus.ERROR;
  }

  /** Returns whether the upstream states that it rejected the request without running it. */
  private static boolean isRejection(FullHttpResponse response) {
    HttpResponseStatus status = response.status();
    return (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
            || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
        && NEVER_RAN_VALUE.equals(response.headers().get(HttpProtocol.NEVER_RAN_HEADER));
  }
}
