package loadbalancer.net;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import loadbalancer.json.MalformedInputException;

/** Parses numeric socket addresses. */
public final class SocketAddresses {

  private SocketAddresses() {}

  /**
   * Parses a numeric address such as 10.0.0.4:8000 or [::1]:8000. Names are not resolved: there is
   * no DNS where the proxy runs, and a lookup would block the event loop.
   *
   * @param field the name of the address in error messages
   * @param text the address
   * @throws MalformedInputException if the text is not a numeric address with a port; the message
   *     names the field and the text
   */
  public static InetSocketAddress parse(String field, String text) {
    int colon = text.lastIndexOf(':');
    if (colon >= 0) {
      byte[] host = NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
      try {
        if (host != null) {
          int port = Integer.parseInt(text.substring(colon + 1));
          return new InetSocketAddress(InetAddress.getByAddress(host), port);
        }
      } catch (IOException | IllegalArgumentException e) {
        // A port that is not a number or out of range is reported below, like a missing one.
      }
    }
    throw new MalformedInputException(
        "field " + field + ": expected an address and a port, got \"" + text + "\"");
  }
}
