package loadbalancer.net;

import java.net.ConnectException;
import java.net.NoRouteToHostException;

/** Classifies failures to connect by the side that caused them. */
public final class ConnectFailures {

  private ConnectFailures() {}

  /**
   * Returns whether the failure is local: this machine temporarily lacked a descriptor, port,
   * buffer or route, and the remote side was not contacted. Refused connections, connect time-outs
   * and unreachable hosts are failures of the remote side.
   */
  public static boolean isLocal(Throwable cause) {
    return !(cause instanceof ConnectException || cause instanceof NoRouteToHostException);
  }
}
